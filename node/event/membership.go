package event

import "go.uber.org/zap/zapcore"

// Events of entry membership, 5100 to 5199.
var (
	EntryRemoved       = define(5100, "entry instance removed", zapcore.WarnLevel, "The membership lease of an entry instance expired and the instance was removed.", "Check the instance; it joins again by itself once it reaches the leader.")
	EntryRemovalFailed = define(5101, "entry instance removal not committed", zapcore.WarnLevel, "A removal could not be committed; it is tried again.", "Check that a quorum of control replicas is reachable.")
	EntryJoined        = define(5102, "entry instance joined", zapcore.InfoLevel, "This entry instance became a member of the control state.", "")
	FollowLost         = define(5103, "follow stream lost", zapcore.WarnLevel, "The stream of changes from a control replica ended; another replica is tried.", "If it repeats on every replica, check the network between entry instance and replicas.")
	FollowRefused      = define(5104, "older state refused", zapcore.WarnLevel, "A control replica offered a state older than the one held; it was refused.", "If it lasts, check whether the replica is cut off or its data folder was restored.")
	EntryStale         = define(5105, "entry instance lost touch", zapcore.WarnLevel, "The entry instance has had no contact with the control state for longer than its bound and is not ready.", "Check the network between entry instance and replicas.")
)
