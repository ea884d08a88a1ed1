package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.ClaimOutcome;
import org.jacinthwharf.wire.generated.ClaimRequest;
import org.jacinthwharf.wire.generated.Envelope;
import org.junit.jupiter.api.Test;

/** Tests that followers forward claims to the leader, and that each claim gets one reply (G8). */
final class ClaimRelayTest {
    private final ManualEventLoop mLoop = new ManualEventLoop();
    private final SingleMemberLog mLeaderLog =
            new SingleMemberLog(new ControlStateMachine(new InMemoryClaims()));
    private final SingleMemberLog mFollowerLog =
            new SingleMemberLog(new ControlStateMachine(new InMemoryClaims()));
    private final FakeLink mToLeader = new FakeLink("vm1", "control");
    private final FakeLink mFromFollower = new FakeLink("vm2", "control");
    private final FakeLink mRouter = new FakeLink("r1", "router");
    private final ClaimRelay mLeader =
            new ClaimRelay(mLeaderLog, mLoop, vm -> Optional.of(mFromFollower));
    private Optional<Link> mLeaderLink = Optional.of(mToLeader);
    private final ClaimRelay mFollower = new ClaimRelay(mFollowerLog, mLoop, vm -> mLeaderLink);

    ClaimRelayTest() {
        mFollowerLog.mIsLeader = false;
    }

    /** Guards against routers that can claim only through a link to the leader. */
    @Test
    void claimAtFollowerGetsTheReplyOfTheLeader() {
        mFollower.onRequest(mRouter, claim("a"));
        mLeader.onRequest(mFromFollower, mToLeader.mSent.get(0));
        mFollower.onReply(mFromFollower.mSent.get(0));

        assertThat(outcome()).isEqualTo(ClaimOutcome.CLAIM_GRANTED);

        mFollower.onRequest(mRouter, claim("b"));
        mLeader.onRequest(mFromFollower, mToLeader.mSent.get(1));
        mFollower.onReply(mFromFollower.mSent.get(1));
        assertThat(outcome()).isEqualTo(ClaimOutcome.CLAIM_IN_PROGRESS);
    }

    /** Guards against a caller that waits for a reply although no majority is reachable. */
    @Test
    void claimWithoutLeaderIsUnavailable() {
        mLeaderLink = Optional.empty();
        mFollower.onRequest(mRouter, claim("a"));
        assertThat(outcome()).isEqualTo(ClaimOutcome.CLAIM_UNAVAILABLE);
    }

    /**
     * Guards against a claim without a reply if the leader's reply is lost, and against a second
     * reply if the leader's reply arrives after the timeout.
     */
    @Test
    void claimWithoutReplyOfTheLeaderWithinTheTimeoutIsRefusedOnce() {
        mFollower.onRequest(mRouter, claim("a"));
        mFollower.tick();
        assertThat(mRouter.mSent).isEmpty();
        mLoop.advance(ClaimRelay.FORWARD_TIMEOUT);
        mFollower.tick();
        assertThat(outcome()).isEqualTo(ClaimOutcome.CLAIM_UNAVAILABLE);

        mLeader.onRequest(mFromFollower, mToLeader.mSent.get(0));
        mFollower.onReply(mFromFollower.mSent.get(0));
        assertThat(mRouter.mSent).hasSize(1);
    }

    /** Guards against claims that are forwarded in a loop during an election. */
    @Test
    void forwardedClaimIsNotForwardedAgain() {
        mLeaderLog.mIsLeader = false;
        mLeaderLog.mLeader = Optional.of(VmId.of("vm2"));
        mLeader.onRequest(mFromFollower, claim("a"));
        assertThat(mFromFollower.mSent).hasSize(1);
        assertThat(mFromFollower.mSent.get(0).getClaimReply().getOutcome())
                .isEqualTo(ClaimOutcome.CLAIM_UNAVAILABLE);
    }

    private ClaimOutcome outcome() {
        return mRouter.mSent.get(mRouter.mSent.size() - 1).getClaimReply().getOutcome();
    }

    private static Envelope claim(String claimId) {
        return Envelope.newBuilder()
                .setClaimRequest(
                        ClaimRequest.newBuilder()
                                .setClaimId(claimId)
                                .setCustomer("alpha")
                                .setRequestKey("k")
                                .setTimeoutMillis(1_000))
                .build();
    }
}
