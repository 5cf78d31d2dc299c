package router

import (
	"encoding/json"
	"net/http"
)

// modelList is the response of /v1/models in the format of the OpenAI API.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func writeModels(w http.ResponseWriter, names []string) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range names {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "trefoilkeel"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
