"""The command `ottercleat`: one module a command, imported only when that command is called."""
