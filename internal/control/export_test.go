package control

import "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"

// NewLedgerHandler returns the ledger service of a server, to be called without the network.
func NewLedgerHandler(s *Server) trefoilkeelv1connect.LedgerServiceHandler { return &ledgerService{s} }
