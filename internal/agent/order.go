package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/engine"
)

// ordersPath is the HTTP path at which an engine accepts orders.
const ordersPath = "/orders"

// engineOrder is the JSON body of an order.
type engineOrder struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Fence uint64 `json:"fence"`
}

// Execute forwards an order to the engine and reports whether the engine
// accepted it. An order whose fencing number is older than newestFence, the
// newest number seen, is refused without a call to the engine.
func (a *Agent) Execute(ctx context.Context, order *trefoilkeelv1.Order) (accepted bool, newestFence uint64) {
	ok, newestFence := a.fence.admit(order.GetFence())
	if !ok {
		a.logger.Warn("order refused", "order", order.GetId(), "fence", order.GetFence(), "newest", newestFence)
		return false, newestFence
	}
	kind := strings.ToLower(strings.TrimPrefix(order.GetKind().String(), "ORDER_KIND_"))
	name := order.GetModel()
	if order.GetKind() == trefoilkeelv1.OrderKind_ORDER_KIND_ROLE {
		name = order.GetRole()
	}
	body, err := json.Marshal(engineOrder{Kind: kind, Name: name, Fence: order.GetFence()})
	if err != nil {
		return false, newestFence
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, err := a.client.Do(ctx, &engine.Call{ID: order.GetId(), Method: http.MethodPost, RequestURI: ordersPath, Header: header, Body: body})
	if err != nil {
		a.logger.Warn("order failed", "order", order.GetId(), "error", err)
		return false, newestFence
	}
	_ = response.Body.Close()
	accepted = response.StatusCode == http.StatusOK
	if accepted {
		a.updateModels(order)
	}
	a.logger.Info("order", "order", order.GetId(), "kind", kind, "name", name, "fence", order.GetFence(), "accepted", accepted)
	return accepted, newestFence
}

// updateModels updates the list of models after an accepted load or unload order.
func (a *Agent) updateModels(order *trefoilkeelv1.Order) {
	a.modelsMu.Lock()
	defer a.modelsMu.Unlock()
	index, present := slices.BinarySearch(a.models, order.GetModel())
	switch order.GetKind() {
	case trefoilkeelv1.OrderKind_ORDER_KIND_LOAD:
		if !present {
			a.models = slices.Insert(slices.Clone(a.models), index, order.GetModel())
		}
	case trefoilkeelv1.OrderKind_ORDER_KIND_UNLOAD:
		if present {
			a.models = slices.Delete(slices.Clone(a.models), index, index+1)
		}
	}
}

// Models returns the sorted names of the models that the endpoint serves. The
// returned slice is never modified.
func (a *Agent) Models() []string {
	a.modelsMu.Lock()
	defer a.modelsMu.Unlock()
	return a.models
}
