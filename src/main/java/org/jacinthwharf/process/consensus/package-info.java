/** Replicates a log among the control members: Raft, log, snapshots. */
package org.jacinthwharf.process.consensus;
