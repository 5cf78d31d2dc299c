package routing

// RetryBudget limits the retries of each class to a share of its successes, so
// that retries cannot amplify an overload. At any time, the retries of a class so
// far are at most that share of its successes plus InitialRetries.
type RetryBudget struct {
	config        RetryBudgetConfig
	creditByClass map[string]int // in hundredths of a retry
}

// RetryBudgetConfig configures a RetryBudget. A zero field takes its default.
type RetryBudgetConfig struct {
	// RetryPercent is the number of retries earned by a hundred successes.
	RetryPercent int
	// InitialRetries is the number of retries allowed before the first success.
	InitialRetries int
	// MaxSavedRetries bounds the unused retries that a class can accumulate.
	MaxSavedRetries int
}

// Defaults of RetryBudgetConfig.
const (
	defaultRetryPercent    = 10
	defaultInitialRetries  = 3
	defaultMaxSavedRetries = 100
	creditPerRetry         = 100
)

// NewRetryBudget returns a budget in which each class has InitialRetries.
func NewRetryBudget(config RetryBudgetConfig) *RetryBudget {
	config.RetryPercent = orDefault(config.RetryPercent, defaultRetryPercent)
	config.InitialRetries = orDefault(config.InitialRetries, defaultInitialRetries)
	config.MaxSavedRetries = max(orDefault(config.MaxSavedRetries, defaultMaxSavedRetries), config.InitialRetries)
	return &RetryBudget{config: config, creditByClass: map[string]int{}}
}

// RecordSuccess credits the class for one completed answer.
func (b *RetryBudget) RecordSuccess(class string) {
	b.creditByClass[class] = min(b.credit(class)+b.config.RetryPercent, b.config.MaxSavedRetries*creditPerRetry)
}

// TryTake spends one retry of the class and reports whether one was available.
func (b *RetryBudget) TryTake(class string) bool {
	credit := b.credit(class)
	if credit < creditPerRetry {
		return false
	}
	b.creditByClass[class] = credit - creditPerRetry
	return true
}

func (b *RetryBudget) credit(class string) int {
	credit, known := b.creditByClass[class]
	if !known {
		return b.config.InitialRetries * creditPerRetry
	}
	return credit
}
