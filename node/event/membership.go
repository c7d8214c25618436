package event

import "go.uber.org/zap/zapcore"

// Events of the membership of entry instances, 5100 to 5199.
var (
	EntryRemoved       = define(5100, "entry instance removed", zapcore.WarnLevel, "The membership lease of an entry instance expired and the instance was removed.", "Check the instance; it joins again by itself once it can reach the leader.")
	EntryRemovalFailed = define(5101, "entry instance removal not committed", zapcore.WarnLevel, "The removal of an entry instance could not be committed; it is retried.", "Check that a quorum of control replicas is reachable.")
	EntryJoined        = define(5102, "entry instance joined", zapcore.InfoLevel, "This entry instance has joined; the control state lists it as a member.", "")
	FollowStreamLost   = define(5103, "follow stream lost", zapcore.WarnLevel, "The stream of state changes from a control replica ended; the entry instance connects to another replica.", "If this repeats with every replica, check the network between the entry instance and the control replicas.")
	OlderStateRefused  = define(5104, "older state refused", zapcore.WarnLevel, "A control replica sent a state that is older than the one the entry instance already has; it was discarded.", "If this continues, check whether the replica is partitioned from the others or its data folder was restored from a backup.")
	EntryStale         = define(5105, "entry instance lost touch", zapcore.WarnLevel, "The entry instance has had no contact with the control replicas for longer than the limit and reports not ready.", "Check the network between the entry instance and the control replicas.")
)
