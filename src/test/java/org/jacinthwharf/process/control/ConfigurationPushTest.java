package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;
import static org.jacinthwharf.process.control.TestCommands.apply;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jacinthwharf.process.control.ConfigurationFollower.Action;
import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.ConfigurationPush;
import org.jacinthwharf.wire.generated.RevisionReport;
import org.jacinthwharf.wire.generated.RoutingTable;
import org.jacinthwharf.wire.generated.Subscribe;
import org.junit.jupiter.api.Test;

/** Configuration pushes to a router (G11): every change becomes active, and none is reverted. */
final class ConfigurationPushTest {
    private final ManualEventLoop mLoop = new ManualEventLoop();
    private final ControlStateMachine mState = new ControlStateMachine(new InMemoryClaims());
    private final SingleMemberLog mLog = new SingleMemberLog(mState);
    private final ConfigurationPublisher mPublisher =
            new ConfigurationPublisher(mState, mLog, mLoop);
    private final FakeLink mLink = new FakeLink("r1", "router");
    private final ConfigurationFollower mFollower = new ConfigurationFollower(mLoop.mNowNanos);

    ConfigurationPushTest() {
        mState.setListener(mPublisher);
    }

    /** Guards against changes that are never applied after lost, repeated or reordered pushes. */
    @Test
    void followerCatchesUpWhenPushesAreLostRepeatedAndReordered() {
        Random random = new Random(7);
        List<ConfigurationPush> inFlight = new ArrayList<>();
        long highest = 0;
        mPublisher.subscribe(mLink, Subscribe.getDefaultInstance());
        for (int i = 0; i < 400; i++) {
            apply(mState, TestCommands.customer("c" + i, "customer" + i % 50, i + 1));
            mLoop.advance(Duration.ofMillis(100));
            if (i % 10 == 0) {
                mPublisher.tick();
            }
            inFlight.addAll(mLink.takePushes());
            while (inFlight.size() > 5) {
                ConfigurationPush push = inFlight.get(random.nextInt(inFlight.size()));
                if (random.nextInt(3) > 0) {
                    perform(mFollower.onPush("vm1", push, mLoop.mNowNanos));
                }
                if (random.nextInt(3) > 0) {
                    inFlight.remove(push);
                }
                assertThat(mFollower.revision()).isAtLeast(highest);
                highest = mFollower.revision();
            }
        }
        for (int round = 0; round < 2; round++) {
            mLoop.advance(ConfigurationPublisher.PUSH_INTERVAL);
            mPublisher.tick();
            deliver();
        }
        assertThat(mFollower.configuration()).hasValue(mState.configuration());
        assertThat(mPublisher.reportedRevisions()).containsExactly("r1", mState.revision());
    }

    /** Guards against a return to an older revision that a stale member sends. */
    @Test
    void runningFollowerRefusesTheOlderRevisionOfOneStaleMember() {
        apply(mState, TestCommands.customer("c1", "alpha", 1));
        ConfigurationPush stale = fullPush(true);
        apply(mState, TestCommands.customer("c2", "alpha", 2));
        mFollower.onPush("vm1", fullPush(true), mLoop.mNowNanos);

        assertThat(mFollower.onPush("vm2", stale, mLoop.mNowNanos)).isEmpty();
        assertThat(mFollower.revision()).isEqualTo(2);
    }

    /** Guards against activating an old revision of the only reachable member after a restart. */
    @Test
    void restartedFollowerActivatesNoRevisionBelowThatOfAnotherRouter() {
        apply(mState, TestCommands.customer("c1", "alpha", 1));
        ConfigurationPush stale = fullPush(false);
        mFollower.onUp("vm2", mLoop.mNowNanos);
        mFollower.onPush("vm2", stale, mLoop.mNowNanos);
        mFollower.recordPeerRevision(2);
        mLoop.advance(ConfigurationFollower.START_CONFIRMATION_TIMEOUT);

        assertThat(mFollower.tick(mLoop.mNowNanos)).isEmpty();
        assertThat(mFollower.configuration()).isEmpty();

        apply(mState, TestCommands.customer("c2", "alpha", 2));
        mFollower.onPush("vm1", fullPush(false), mLoop.mNowNanos);
        assertThat(mFollower.revision()).isEqualTo(2);
    }

    /** Guards against a start with unconfirmed content while a leader may still be reachable. */
    @Test
    void newFollowerActivatesUnconfirmedContentOnlyAfterTheTimeout() {
        apply(mState, TestCommands.customer("c1", "alpha", 1));
        mFollower.onPush("vm2", fullPush(false), mLoop.mNowNanos);
        mLoop.advance(ConfigurationFollower.START_CONFIRMATION_TIMEOUT.minusMillis(1));
        assertThat(mFollower.tick(mLoop.mNowNanos)).isEmpty();
        mLoop.advance(Duration.ofMillis(1));
        assertThat(mFollower.tick(mLoop.mNowNanos)).isNotEmpty();
        assertThat(mFollower.revision()).isEqualTo(1);
    }

    /** Guards against pushing content below the highest revision that was active at a router. */
    @Test
    void staleMemberSendsNoContentBelowTheReportedFloor() {
        apply(mState, TestCommands.customer("c1", "alpha", 1));
        mPublisher.onReport(
                mLink, RevisionReport.newBuilder().setVmId("r2").setRevision(9).build());
        mPublisher.subscribe(mLink, Subscribe.getDefaultInstance());
        mPublisher.onRestore();
        apply(mState, TestCommands.customer("c2", "alpha", 2));

        for (ConfigurationPush push : mLink.takePushes()) {
            assertThat(push.hasFull() || push.hasDelta()).isFalse();
            assertThat(push.getRevisionFloor()).isEqualTo(9);
        }
    }

    /** Guards against followers that keep renewing the confirmation of a lost leader. */
    @Test
    void followerRelaysConfirmationToRoutersOnlyAndOnlyWhileItIsValid() {
        FakeLink member = new FakeLink("vm2", "control");
        mLog.mIsLeader = false;
        apply(mState, TestCommands.customer("c1", "alpha", 1));
        mPublisher.subscribe(mLink, Subscribe.newBuilder().setRevision(1).build());
        mPublisher.subscribe(member, Subscribe.getDefaultInstance());
        assertThat(mLink.takePushes().get(0).getConfirmed()).isFalse();
        mPublisher.onMemberPush(fullPush(true));
        member.mSent.clear();

        mPublisher.tick();
        assertThat(mLink.takePushes().get(0).getConfirmed()).isTrue();
        assertThat(member.takePushes().get(0).getConfirmed()).isFalse();

        mLoop.advance(ConfigurationPublisher.CONFIRMATION_VALIDITY);
        mPublisher.tick();
        assertThat(mLink.takePushes().get(0).getConfirmed()).isFalse();
    }

    /** Guards against sending the full configuration to a router that missed only a few changes. */
    @Test
    void subscriptionFromKnownRevisionGetsOnlyTheChangesSince() {
        for (int i = 1; i <= 5; i++) {
            apply(mState, TestCommands.customer("c" + i, "alpha", i));
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

    /** Guards against a heap that fills with the changes of large routing tables. */
    @Test
    void retainedChangesAreBoundInBytes() {
        ByteString document = ByteString.copyFrom(new byte[100_000]);
        for (int i = 1; i <= 300; i++) {
            RoutingTable table =
                    RoutingTable.newBuilder().setNumber(i).setDocument(document).build();
            mState.apply(
                    i,
                    Command.newBuilder()
                            .setCommandId("c" + i)
                            .setReplaceRouting(table)
                            .build()
                            .toByteString());
            assertThat(mPublisher.retainedBytes())
                    .isAtMost(ConfigurationPublisher.MAX_RETAINED_BYTES);
        }
        mPublisher.subscribe(mLink, Subscribe.newBuilder().setRevision(298).build());
        assertThat(mLink.takePushes()).hasSize(2);
        mPublisher.subscribe(mLink, Subscribe.newBuilder().setRevision(3).build());
        assertThat(mLink.takePushes().get(0).getFull().getRouting().getNumber()).isEqualTo(300);
    }

    private ConfigurationPush fullPush(boolean confirmed) {
        return ConfigurationPush.newBuilder()
                .setRevision(mState.revision())
                .setConfirmed(confirmed)
                .setFull(mState.configuration())
                .build();
    }

    private void deliver() {
        for (List<ConfigurationPush> pushes = mLink.takePushes();
                !pushes.isEmpty();
                pushes = mLink.takePushes()) {
            pushes.forEach(push -> perform(mFollower.onPush("vm1", push, mLoop.mNowNanos)));
        }
    }

    private void perform(List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Action.RequestSubscription a) {
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
