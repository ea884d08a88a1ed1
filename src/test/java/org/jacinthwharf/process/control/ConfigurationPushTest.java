package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;
import static org.jacinthwharf.process.control.Commands.apply;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jacinthwharf.process.control.ConfigurationFollower.Action;
import org.jacinthwharf.wire.generated.ConfigurationPush;
import org.jacinthwharf.wire.generated.RevisionReport;
import org.jacinthwharf.wire.generated.Subscribe;
import org.junit.jupiter.api.Test;

/** Guards G11 between a control member and a router: in force everywhere, and never reverts. */
final class ConfigurationPushTest {
    private final ManualLoop mLoop = new ManualLoop();
    private final ControlStateMachine mState = new ControlStateMachine(new InMemoryClaims());
    private final SingleMemberLog mLog = new SingleMemberLog(mState);
    private final ConfigurationPublisher mPublisher =
            new ConfigurationPublisher(mState, mLog, mLoop);
    private final FakeLink mLink = new FakeLink("r1", "router");
    private final ConfigurationFollower mFollower = new ConfigurationFollower(mLoop.mNowNanos);

    ConfigurationPushTest() {
        mState.setListener(mPublisher);
    }

    /** Guards against changes that stay missing after lost, repeated and reordered pushes. */
    @Test
    void followerCatchesUpWhenPushesAreLostRepeatedAndReordered() {
        Random random = new Random(7);
        List<ConfigurationPush> underway = new ArrayList<>();
        long highest = 0;
        mPublisher.subscribe(mLink, Subscribe.getDefaultInstance());
        for (int i = 0; i < 400; i++) {
            apply(mState, Commands.customer("c" + i, "customer" + i % 50, i + 1));
            mLoop.advance(Duration.ofMillis(100));
            if (i % 10 == 0) {
                mPublisher.tick();
            }
            underway.addAll(mLink.takePushes());
            while (underway.size() > 5) {
                ConfigurationPush push = underway.get(random.nextInt(underway.size()));
                if (random.nextInt(3) > 0) {
                    act(mFollower.onPush("vm1", push, mLoop.mNowNanos));
                }
                if (random.nextInt(3) > 0) {
                    underway.remove(push);
                }
                assertThat(mFollower.revision()).isAtLeast(highest);
                highest = mFollower.revision();
            }
        }
        for (int round = 0; round < 2; round++) {
            mLoop.advance(ConfigurationPublisher.INTERVAL);
            mPublisher.tick();
            deliver();
        }
        assertThat(mFollower.configuration()).hasValue(mState.configuration());
        assertThat(mPublisher.reported()).containsExactly("r1", mState.revision());
    }

    /** Guards against a return to an older revision that a stale member offers. */
    @Test
    void runningFollowerRefusesTheOlderRevisionOfOneStaleMember() {
        apply(mState, Commands.customer("c1", "alpha", 1));
        ConfigurationPush old = fullPush(true);
        apply(mState, Commands.customer("c2", "alpha", 2));
        mFollower.onPush("vm1", fullPush(true), mLoop.mNowNanos);

        assertThat(mFollower.onPush("vm2", old, mLoop.mNowNanos)).isEmpty();
        assertThat(mFollower.revision()).isEqualTo(2);
    }

    /** Guards against an empty restart that takes an old revision from the one reachable member. */
    @Test
    void emptyRestartBesideStaleMemberWaitsForTheRevisionKnownElsewhere() {
        apply(mState, Commands.customer("c1", "alpha", 1));
        ConfigurationPush stale = fullPush(false);
        mFollower.onUp("vm2", mLoop.mNowNanos);
        mFollower.onPush("vm2", stale, mLoop.mNowNanos);
        mFollower.onPeerRevision(2);
        mLoop.advance(ConfigurationFollower.START_WAIT);

        assertThat(mFollower.tick(mLoop.mNowNanos)).isEmpty();
        assertThat(mFollower.configuration()).isEmpty();

        apply(mState, Commands.customer("c2", "alpha", 2));
        mFollower.onPush("vm1", fullPush(false), mLoop.mNowNanos);
        assertThat(mFollower.revision()).isEqualTo(2);
    }

    /** Guards against a start on unconfirmed content while a leader may still be reachable. */
    @Test
    void emptyStartTakesUnconfirmedContentOnlyAfterTheWait() {
        apply(mState, Commands.customer("c1", "alpha", 1));
        mFollower.onPush("vm2", fullPush(false), mLoop.mNowNanos);
        mLoop.advance(ConfigurationFollower.START_WAIT.minusMillis(1));
        assertThat(mFollower.tick(mLoop.mNowNanos)).isEmpty();
        mLoop.advance(Duration.ofMillis(1));
        assertThat(mFollower.tick(mLoop.mNowNanos)).isNotEmpty();
        assertThat(mFollower.revision()).isEqualTo(1);
    }

    /** Guards against content below the highest revision that a router had in force. */
    @Test
    void staleMemberServesNoContentBelowTheReportedFloor() {
        apply(mState, Commands.customer("c1", "alpha", 1));
        mPublisher.onReport(
                mLink, RevisionReport.newBuilder().setVmId("r2").setRevision(9).build());
        mPublisher.subscribe(mLink, Subscribe.getDefaultInstance());
        mPublisher.onRestore();
        apply(mState, Commands.customer("c2", "alpha", 2));

        for (ConfigurationPush push : mLink.takePushes()) {
            assertThat(push.hasFull() || push.hasDelta()).isFalse();
            assertThat(push.getRevisionFloor()).isEqualTo(9);
        }
    }

    /** Guards against a lost leader's confirmation that followers keep alive. */
    @Test
    void followerRelaysConfirmationToRoutersOnlyAndOnlyWhileItIsFresh() {
        FakeLink member = new FakeLink("vm2", "control");
        mLog.mLeads = false;
        apply(mState, Commands.customer("c1", "alpha", 1));
        mPublisher.subscribe(mLink, Subscribe.newBuilder().setRevision(1).build());
        mPublisher.subscribe(member, Subscribe.getDefaultInstance());
        assertThat(mLink.takePushes().get(0).getConfirmed()).isFalse();
        mPublisher.onMemberPush(fullPush(true));
        member.mSent.clear();

        mPublisher.tick();
        assertThat(mLink.takePushes().get(0).getConfirmed()).isTrue();
        assertThat(member.takePushes().get(0).getConfirmed()).isFalse();

        mLoop.advance(ConfigurationPublisher.CONFIRMATION_VALID);
        mPublisher.tick();
        assertThat(mLink.takePushes().get(0).getConfirmed()).isFalse();
    }

    /** Guards against a whole copy for a router that missed a few changes only. */
    @Test
    void subscriptionFromKnownRevisionGetsOnlyTheChangesSince() {
        for (int i = 1; i <= 5; i++) {
            apply(mState, Commands.customer("c" + i, "alpha", i));
        }
        mPublisher.subscribe(mLink, Subscribe.newBuilder().setRevision(3).build());
        assertThat(mLink.takePushes().stream().map(p -> p.getDelta().getBaseRevision()))
                .containsExactly(3L, 4L)
                .inOrder();

        mState.restore(ByteString.copyFrom(mState.snapshot().toByteArray()));
        mLink.takePushes();
        mPublisher.subscribe(mLink, Subscribe.newBuilder().setRevision(3).build());
        assertThat(mLink.takePushes().get(0).hasFull()).isTrue();
    }

    private ConfigurationPush fullPush(boolean confirmed) {
        return ConfigurationPush.newBuilder()
                .setRevision(mState.revision())
                .setConfirmed(confirmed)
                .setFull(mState.configuration())
                .build();
    }

    private void deliver() {
        for (List<ConfigurationPush> p = mLink.takePushes(); !p.isEmpty(); p = mLink.takePushes()) {
            p.forEach(push -> act(mFollower.onPush("vm1", push, mLoop.mNowNanos)));
        }
    }

    private void act(List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Action.Ask a) {
                mPublisher.subscribe(
                        mLink, Subscribe.newBuilder().setRevision(a.revision()).build());
            } else if (action instanceof Action.Report r) {
                mPublisher.onReport(
                        mLink,
                        RevisionReport.newBuilder()
                                .setVmId("r1")
                                .setRevision(r.revision())
                                .build());
            }
        }
    }
}
