package event

import "go.uber.org/zap/zapcore"

// Events of the replicated control state, 1000 to 1999.
var (
	ReplicaOpened       = define(1000, "replica opened", zapcore.InfoLevel, "The data folder was read; the line names the replica ID, the last index and the snapshot index.", "")
	ReplicaCreated      = define(1001, "replica created", zapcore.InfoLevel, "The data folder was empty; a new incarnation was drawn. It cannot vote before it is admitted.", "")
	LeaderElected       = define(1002, "became leader", zapcore.InfoLevel, "This replica was elected in the term that the line names.", "")
	LeadershipLost      = define(1003, "leadership lost", zapcore.WarnLevel, "This replica no longer leads, or no longer hears from a leader.", "")
	QuorumLost          = define(1004, "quorum lost", zapcore.WarnLevel, "The leader has not heard from a quorum for one election timeout and steps down. No change is acknowledged.", "Check the other control replicas and the network between the data centres.")
	LeaderFollowed      = define(1005, "follows leader", zapcore.InfoLevel, "This replica follows the leader that the line names.", "")
	MembershipChanged   = define(1006, "replica membership changed", zapcore.InfoLevel, "The log holds a new membership of the control replicas.", "")
	SnapshotSaved       = define(1007, "snapshot saved", zapcore.InfoLevel, "The control state was saved and the log before it was dropped.", "")
	SnapshotSent        = define(1008, "snapshot sent", zapcore.InfoLevel, "A follower that was behind the log received the whole control state.", "")
	SnapshotInstalled   = define(1009, "snapshot installed", zapcore.InfoLevel, "This replica was behind the log of the leader and took over its whole control state.", "")
	LogTailTruncated    = define(1010, "torn log tail truncated", zapcore.WarnLevel, "The last write before a crash was incomplete and was removed. It had not been acknowledged.", "")
	LogCorrupt          = define(1011, "log corrupt", zapcore.ErrorLevel, "A file of the data folder is damaged in a way that a crash cannot explain. The replica does not start.", "Check the disk. Move the data folder away and start the replica empty; it rejoins from the others.")
	FolderLocked        = define(1012, "data folder locked", zapcore.ErrorLevel, "Another process uses the data folder. The replica does not start.", "Stop the other process or correct the data folder setting.")
	FolderCopied        = define(1013, "data folder copied", zapcore.ErrorLevel, "The data folder is a copy or was restored from a backup and may lack acknowledged changes. The replica does not start.", "Start the replica with an empty data folder; it rejoins from the others.")
	FolderForeign       = define(1014, "data folder of another replica", zapcore.ErrorLevel, "The data folder belongs to a replica of another name. The replica does not start.", "Correct the name or the data folder setting.")
	FolderUnreadable    = define(1015, "data folder unreadable", zapcore.ErrorLevel, "The data folder could not be read. The replica does not start.", "Check the disk and the permissions of the folder.")
	StorageFailed       = define(1016, "storage failed", zapcore.ErrorLevel, "A write or sync failed or the disk is full. The replica gives up leadership and acknowledges nothing. Once the disk takes writes again, its process ends so that it is started anew.", "Free or replace the disk.")
	FollowerRefused     = define(1017, "follower refused", zapcore.ErrorLevel, "A follower holds less than it acknowledged before. Its disk has lost durable data; it is not counted any more.", "Replace the disk of the follower and start it with an empty data folder.")
	ReplicaRefused      = define(1018, "refused by leader", zapcore.ErrorLevel, "This replica holds less than it acknowledged before and has stopped taking part.", "Replace the disk and start the replica with an empty data folder.")
	LogContradicts      = define(1019, "log contradicts leader", zapcore.ErrorLevel, "The leader's log differs in an entry that this replica knows as committed. The replica has stopped taking part.", "Keep the data folder for examination and start the replica with an empty one.")
	PeerUnreachable     = define(1020, "replica unreachable", zapcore.WarnLevel, "Messages to another control replica cannot be delivered.", "Check the process and the network path to the address in the line.")
	PeerReachable       = define(1021, "replica reachable", zapcore.InfoLevel, "Messages to another control replica are delivered again.", "")
	EntryUndecodable    = define(1022, "log entry cannot be decoded", zapcore.ErrorLevel, "A message holds a command that this version does not know. It is ignored.", "Upgrade this replica.")
	SiteFormed          = define(1023, "replicas form a site", zapcore.InfoLevel, "All replicas of a new site have answered; the first membership was written.", "")
	SnapshotFailed      = define(1024, "snapshot failed", zapcore.WarnLevel, "A snapshot could not be sent, received or saved. It is tried again.", "If it repeats, check the disk and the network.")
	ReplicaJoinAttempts = define(1025, "waits for admission", zapcore.InfoLevel, "This replica is not a member yet and asks the leader to admit it.", "If it repeats for minutes, check that the old incarnation of this replica has stopped.")
	ReplicaEnded        = define(1026, "replica ended", zapcore.WarnLevel, "The replica has ended by itself and its process stops, so that it is started anew.", "")
)
