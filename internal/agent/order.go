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

// ordersPath is where an engine takes orders.
const ordersPath = "/orders"

// engineOrder is the JSON body of an order to an engine.
type engineOrder struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Fence uint64 `json:"fence"`
}

// Execute passes an order on to the engine. It returns false, with the newest
// fencing number seen, if the order is older or the engine refused it.
func (a *Agent) Execute(ctx context.Context, order *trefoilkeelv1.Order) (accepted bool, newest uint64) {
	ok, newest := a.fence.admit(order.GetFence())
	if !ok {
		a.logger.Warn("order refused", "order", order.GetId(), "fence", order.GetFence(), "newest", newest)
		return false, newest
	}
	kind := strings.ToLower(strings.TrimPrefix(order.GetKind().String(), "ORDER_KIND_"))
	name := order.GetModel()
	if order.GetKind() == trefoilkeelv1.OrderKind_ORDER_KIND_ROLE {
		name = order.GetRole()
	}
	body, err := json.Marshal(engineOrder{Kind: kind, Name: name, Fence: order.GetFence()})
	if err != nil {
		return false, newest
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, err := a.client.Do(ctx, &engine.Call{ID: order.GetId(), Method: http.MethodPost, Path: ordersPath, Header: header, Body: body})
	if err != nil {
		a.logger.Warn("order failed", "order", order.GetId(), "error", err)
		return false, newest
	}
	_ = response.Body.Close()
	accepted = response.StatusCode == http.StatusOK
	if accepted {
		a.loaded(order)
	}
	a.logger.Info("order", "order", order.GetId(), "kind", kind, "name", name, "fence", order.GetFence(), "accepted", accepted)
	return accepted, newest
}

// loaded takes a carried out order into the list of models.
func (a *Agent) loaded(order *trefoilkeelv1.Order) {
	a.modelsMu.Lock()
	defer a.modelsMu.Unlock()
	at, present := slices.BinarySearch(a.models, order.GetModel())
	switch order.GetKind() {
	case trefoilkeelv1.OrderKind_ORDER_KIND_LOAD:
		if !present {
			a.models = slices.Insert(slices.Clone(a.models), at, order.GetModel())
		}
	case trefoilkeelv1.OrderKind_ORDER_KIND_UNLOAD:
		if present {
			a.models = slices.Delete(slices.Clone(a.models), at, at+1)
		}
	}
}

// Models lists what the endpoint serves now, sorted. The list is not changed
// afterwards.
func (a *Agent) Models() []string {
	a.modelsMu.Lock()
	defer a.modelsMu.Unlock()
	return a.models
}
