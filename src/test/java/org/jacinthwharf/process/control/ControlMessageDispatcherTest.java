package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.consensus.LeaveOutcome;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.wire.generated.ConfigurationPush;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.LeaseVote;
import org.jacinthwharf.wire.generated.LeaseVoteRequest;
import org.junit.jupiter.api.Test;

/** Which messages a control process accepts from which peer, and when it votes as witness. */
final class ControlMessageDispatcherTest implements LeaseWitness {
    private final ManualEventLoop mLoop = new ManualEventLoop();
    private final ControlStateMachine mState = new ControlStateMachine(new InMemoryClaims());
    private final SingleMemberLog mLog = new SingleMemberLog(mState);
    private final ConfigurationPublisher mPublisher =
            new ConfigurationPublisher(mState, mLog, mLoop);
    private final FakeLink mRouter = new FakeLink("r1", "router");
    private final List<String> mWitnessCalls = new ArrayList<>();
    private final MemberLinks mMembers = new MemberLinks();
    private final ControlMessageDispatcher mDispatcher =
            new ControlMessageDispatcher(
                    mLoop,
                    new FleetMetrics(),
                    mMembers,
                    new OpenLog(mLog),
                    mPublisher,
                    new ClaimRelay(mLog, mLoop, mMembers::find),
                    MovePlanner.noOp(),
                    this);

    /** Guards against two members that vote for different coordinators on behalf of the group. */
    @Test
    void onlyTheConfirmedLeaderVotesAsWitnessAndIsNotifiedOfItsTermFirst() {
        Envelope request =
                Envelope.newBuilder()
                        .setLeaseVoteRequest(LeaseVoteRequest.getDefaultInstance())
                        .build();
        mLog.mIsLeader = false;
        mDispatcher.onMessage(mRouter, request);
        assertThat(mWitnessCalls).isEmpty();
        assertThat(mRouter.mSent).isEmpty();

        mLog.mIsLeader = true;
        mDispatcher.onMessage(mRouter, request);
        mDispatcher.onMessage(mRouter, request);
        assertThat(mWitnessCalls).containsExactly("leading", "answer", "answer").inOrder();
        assertThat(mRouter.mSent).hasSize(2);
    }

    /** Guards against routers whose messages mark stale content as confirmed. */
    @Test
    void confirmationFromRouterIsIgnored() {
        mLog.mIsLeader = false;
        Envelope push =
                Envelope.newBuilder()
                        .setConfigurationPush(ConfigurationPush.newBuilder().setConfirmed(true))
                        .build();
        mDispatcher.onMessage(mRouter, push);
        assertThat(mPublisher.isConfirmed()).isFalse();
        mDispatcher.onMessage(new FakeLink("vm2", "control"), push);
        assertThat(mPublisher.isConfirmed()).isTrue();
    }

    /** Guards against treating a member as unreachable although one of its two links is up. */
    @Test
    void memberIsFoundWhileOneOfItsLinksIsUp() {
        FakeLink first = new FakeLink("vm2", "control");
        FakeLink second = new FakeLink("vm2", "control");
        mDispatcher.onUp(first);
        mDispatcher.onUp(second);
        assertThat(mMembers.find(VmId.of("vm2"))).hasValue(second);
        mDispatcher.onDown(second);
        assertThat(mMembers.find(VmId.of("vm2"))).hasValue(first);
    }

    @Override
    public void onLeadershipAcquired(long nowNanos) {
        mWitnessCalls.add("leading");
    }

    @Override
    public Optional<Envelope> answer(Envelope message, long nowNanos) {
        mWitnessCalls.add("answer");
        return Optional.of(
                Envelope.newBuilder().setLeaseVote(LeaseVote.getDefaultInstance()).build());
    }

    private record OpenLog(ReplicatedLog log) implements LogFactory.OpenLog {
        @Override
        public void onMessage(Link from, Envelope message) {}

        @Override
        public void onRefused(VmId vm) {}

        @Override
        public CompletableFuture<LeaveOutcome> leave(Duration limit) {
            return CompletableFuture.completedFuture(LeaveOutcome.STAYS);
        }

        @Override
        public void close() {}
    }
}
