"""The command `ottercleat`: one module per subcommand, imported only when that subcommand is invoked."""
