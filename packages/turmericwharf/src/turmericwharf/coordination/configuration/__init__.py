"""The replicated configuration: publishing, validation, log following and snapshots."""
