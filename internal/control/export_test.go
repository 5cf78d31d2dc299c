package control

import "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"

// LedgerOf is the ledger service of a server without the network.
func LedgerOf(s *Server) trefoilkeelv1connect.LedgerServiceHandler { return &ledgerService{s} }
