package org.jacinthwharf.process.control;

import com.google.common.base.Ascii;
import com.google.common.flogger.FluentLogger;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.connection.LinkListener;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.Subscribe;

/**
 * Dispatches the messages of all links of a control process to their handlers.
 *
 * <p>Called on the event loop only. Invariants: confirmations and claim replies are accepted from
 * control members only; the witness votes only after a majority confirmed this member as leader.
 */
final class ControlMessageDispatcher implements LinkListener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final EventLoop mLoop;
    private final FleetMetrics mMetrics;
    private final MemberLinks mMembers;
    private final LogFactory.OpenLog mOpenLog;
    private final ReplicatedLog mLog;
    private final ConfigurationPublisher mPublisher;
    private final ClaimRelay mClaims;
    private final MovePlanner mPlanner;
    private final LeaseWitness mWitness;
    private long mNotifiedTerm = -1;

    ControlMessageDispatcher(
            EventLoop loop,
            FleetMetrics metrics,
            MemberLinks members,
            LogFactory.OpenLog openLog,
            ConfigurationPublisher publisher,
            ClaimRelay claims,
            MovePlanner planner,
            LeaseWitness witness) {
        mLoop = loop;
        mMetrics = metrics;
        mMembers = members;
        mOpenLog = openLog;
        mLog = openLog.log();
        mPublisher = publisher;
        mClaims = claims;
        mPlanner = planner;
        mWitness = witness;
    }

    @Override
    public void onUp(Link link) {
        if (isControlMember(link)) {
            mMembers.onUp(link);
            link.send(Envelope.newBuilder().setSubscribe(Subscribe.getDefaultInstance()).build());
        }
    }

    @Override
    public void onDown(Link link) {
        mMembers.onDown(link);
        mPublisher.onDown(link);
        mClaims.onDown(link);
    }

    @Override
    public void onMessage(Link link, Envelope message) {
        switch (message.getPayloadCase()) {
            case SUBSCRIBE -> mPublisher.subscribe(link, message.getSubscribe());
            case REVISION_REPORT -> mPublisher.onReport(link, message.getRevisionReport());
            case CLAIM_REQUEST, CLAIM_END -> mClaims.onRequest(link, message);
            case LEASE_VOTE_REQUEST, VIEW_RENEWAL -> answerAsWitness(link, message);
            case VERSION_EVIDENCE ->
                    mPlanner.onEvidence(message.getVersionEvidence(), mLoop.nowNanos());
            default -> {
                if (isControlMember(link)) {
                    onMemberMessage(link, message);
                } else {
                    ignoreUnexpected(link, message);
                }
            }
        }
    }

    private void onMemberMessage(Link link, Envelope message) {
        switch (message.getPayloadCase()) {
            case CONFIGURATION_PUSH -> mPublisher.onMemberPush(message.getConfigurationPush());
            case CLAIM_REPLY, CLAIM_END_REPLY -> mClaims.onReply(message);
            case RAFT_VOTE_REQUEST,
                    RAFT_VOTE_REPLY,
                    RAFT_APPEND,
                    RAFT_APPEND_REPLY,
                    RAFT_SNAPSHOT,
                    RAFT_SNAPSHOT_REPLY,
                    RAFT_JOIN,
                    RAFT_LEAVE,
                    RAFT_LEAVE_REPLY,
                    RAFT_TIMEOUT_NOW ->
                    mOpenLog.onMessage(link, message);
            default -> ignoreUnexpected(link, message);
        }
    }

    private void answerAsWitness(Link link, Envelope message) {
        mLog.confirmLeadership()
                .thenAccept(
                        isLeader -> {
                            if (isLeader) {
                                notifyWitnessOfNewTerm();
                                mWitness.answer(message, mLoop.nowNanos()).ifPresent(link::send);
                            }
                        });
    }

    private void notifyWitnessOfNewTerm() {
        long term = mLog.status().term();
        if (term != mNotifiedTerm) {
            mNotifiedTerm = term;
            mWitness.onLeadershipAcquired(mLoop.nowNanos());
        }
    }

    private void ignoreUnexpected(Link link, Envelope message) {
        mMetrics.countEvent("unexpected_message");
        LOGGER.atInfo().log(
                "event=unexpected_message peer=%s message=%s",
                link.peer().getVmId(), Ascii.toLowerCase(message.getPayloadCase().name()));
    }

    private static boolean isControlMember(Link link) {
        return link.peer().getRole().equals("control");
    }
}
