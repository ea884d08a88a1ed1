package org.jacinthwharf.process.control;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.consensus.LeaveOutcome;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.consensus.StateMachine;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.wire.generated.Envelope;

/** Opens the replicated log of a control process. */
public interface LogFactory {
    /**
     * Opens the log and restores the state machine from it; called once, on the event loop.
     *
     * @param members links to the other members, for sending messages
     */
    OpenLog open(StateMachine stateMachine, EventLoop loop, MemberLinks members);

    /** An open log. All methods are called on the event loop. */
    interface OpenLog extends AutoCloseable {
        /** Returns the log for proposals. */
        ReplicatedLog log();

        /** Handles a consensus message (the {@code raft_} payloads) from another member. */
        void onMessage(Link from, Envelope message);

        /** Records that a VM refused a connection, so that no member runs on it. */
        void onRefused(VmId vm);

        /**
         * Starts to leave the group, before the process ends; messages are handled meanwhile.
         *
         * @param limit time after which the departure is given up
         * @return completes when the log may be closed
         */
        CompletableFuture<LeaveOutcome> leave(Duration limit);

        /** Closes the files; no method may be called afterwards. */
        @Override
        void close();
    }
}
