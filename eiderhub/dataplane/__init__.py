"""The tier's data plane: routes, admission through the decisions, streams with resumption, batch items."""
