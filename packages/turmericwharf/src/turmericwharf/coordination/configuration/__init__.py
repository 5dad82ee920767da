"""The configuration on the log: publishing, checking, following, snapshots."""
