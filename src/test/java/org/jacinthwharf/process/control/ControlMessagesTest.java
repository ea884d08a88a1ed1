package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.wire.generated.ConfigurationPush;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.LeaseVote;
import org.jacinthwharf.wire.generated.LeaseVoteRequest;
import org.junit.jupiter.api.Test;

/** Guards what a control process believes of whom, and when it votes as witness. */
final class ControlMessagesTest implements LeaseWitness {
    private final ManualLoop mLoop = new ManualLoop();
    private final ControlStateMachine mState = new ControlStateMachine(new InMemoryClaims());
    private final SingleMemberLog mLog = new SingleMemberLog(mState);
    private final ConfigurationPublisher mPublisher =
            new ConfigurationPublisher(mState, mLog, mLoop);
    private final FakeLink mRouter = new FakeLink("r1", "router");
    private final List<String> mWitnessCalls = new ArrayList<>();
    private final MemberLinks mMembers = new MemberLinks();
    private final ControlMessages mMessages =
            new ControlMessages(
                    mLoop,
                    new FleetMetrics(),
                    mMembers,
                    new OpenLog(mLog),
                    mPublisher,
                    new ClaimRelay(mLog, mLoop, mMembers::find),
                    MovePlanner.idle(),
                    this);

    /** Guards against two members that vote for two coordinators in the group's name. */
    @Test
    void onlyTheConfirmedLeaderVotesAsWitnessAndLearnsOfItsTermFirst() {
        Envelope request =
                Envelope.newBuilder()
                        .setLeaseVoteRequest(LeaseVoteRequest.getDefaultInstance())
                        .build();
        mLog.mLeads = false;
        mMessages.onMessage(mRouter, request);
        assertThat(mWitnessCalls).isEmpty();
        assertThat(mRouter.mSent).isEmpty();

        mLog.mLeads = true;
        mMessages.onMessage(mRouter, request);
        mMessages.onMessage(mRouter, request);
        assertThat(mWitnessCalls).containsExactly("leading", "answer", "answer").inOrder();
        assertThat(mRouter.mSent).hasSize(2);
    }

    /** Guards against a router whose messages make stale content look confirmed. */
    @Test
    void confirmationFromRouterIsIgnored() {
        mLog.mLeads = false;
        Envelope push =
                Envelope.newBuilder()
                        .setConfigurationPush(ConfigurationPush.newBuilder().setConfirmed(true))
                        .build();
        mMessages.onMessage(mRouter, push);
        assertThat(mPublisher.isConfirmed()).isFalse();
        mMessages.onMessage(new FakeLink("vm2", "control"), push);
        assertThat(mPublisher.isConfirmed()).isTrue();
    }

    /** Guards against a member that counts as lost although one of its two links is up. */
    @Test
    void memberIsFoundWhileOneOfItsLinksIsUp() {
        FakeLink first = new FakeLink("vm2", "control");
        FakeLink second = new FakeLink("vm2", "control");
        mMessages.onUp(first);
        mMessages.onUp(second);
        assertThat(mMembers.find(VmId.of("vm2"))).hasValue(second);
        mMessages.onDown(second);
        assertThat(mMembers.find(VmId.of("vm2"))).hasValue(first);
    }

    @Override
    public void onLeading(long nowNanos) {
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
        public void close() {}
    }
}
