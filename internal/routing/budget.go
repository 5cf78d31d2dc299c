package routing

// Budget bounds retries by a share of the successes of each class, so that
// retries cannot amplify an overload: over any time, the retries of a class
// are at most its share of the successes so far plus the reserve.
type Budget struct {
	config  BudgetConfig
	classes map[string]int // credit in hundredths of a retry
}

// BudgetConfig sets a Budget. The zero value of a field takes its default.
type BudgetConfig struct {
	// Percent is how many retries a hundred successes earn.
	Percent int
	// Reserve is the credit of a class before its first success, in retries.
	Reserve int
	// MaxCredit bounds the credit of a class, in retries.
	MaxCredit int
}

// Defaults of BudgetConfig.
const (
	defaultBudgetPercent   = 10
	defaultBudgetReserve   = 3
	defaultBudgetMaxCredit = 100
	hundredths             = 100
)

// NewBudget returns a budget with the reserve of each class untouched.
func NewBudget(config BudgetConfig) *Budget {
	config.Percent = orDefault(config.Percent, defaultBudgetPercent)
	config.Reserve = orDefault(config.Reserve, defaultBudgetReserve)
	config.MaxCredit = max(orDefault(config.MaxCredit, defaultBudgetMaxCredit), config.Reserve)
	return &Budget{config: config, classes: map[string]int{}}
}

// Success credits a class with one whole answer.
func (b *Budget) Success(class string) {
	b.classes[class] = min(b.credit(class)+b.config.Percent, b.config.MaxCredit*hundredths)
}

// Take spends one retry of a class; false if there is none.
func (b *Budget) Take(class string) bool {
	credit := b.credit(class)
	if credit < hundredths {
		return false
	}
	b.classes[class] = credit - hundredths
	return true
}

func (b *Budget) credit(class string) int {
	credit, known := b.classes[class]
	if !known {
		return b.config.Reserve * hundredths
	}
	return credit
}
