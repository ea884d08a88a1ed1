package org.jacinthwharf.request.outcome;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.jacinthwharf.wire.generated.ClaimEnd;
import org.jacinthwharf.wire.generated.ClaimEndState;
import org.jacinthwharf.wire.generated.ClaimOutcome;
import org.jacinthwharf.wire.generated.ClaimReply;
import org.jacinthwharf.wire.generated.ClaimRequest;
import org.jacinthwharf.wire.generated.StoredAnswer;
import org.junit.jupiter.api.Test;

/** Tests the rules for claims of request keys that do not depend on the behaviour of routers. */
final class ClaimTableTest {
    private static final ClaimEndState DONE = ClaimEndState.CLAIM_END_DONE;
    private static final ClaimEndState NOT_RUN = ClaimEndState.CLAIM_END_NOT_RUN;
    private static final int MAX_BODY_BYTES = 32 * 1024;

    private final ClaimTable mTable = new ClaimTable();

    /** A lost reply must not result in a refusal or a second grant. */
    @Test
    void resentClaimGetsTheSameReplyAlsoAfterItsDeadline() {
        ClaimReply first = mTable.claim(claim("c1", "k", "body"), 0);
        assertThat(first.getOutcome()).isEqualTo(ClaimOutcome.CLAIM_GRANTED);
        assertThat(mTable.claim(claim("c1", "k", "body"), 1)).isEqualTo(first);
        assertThat(outcome("c2", "k", "body", 2_000)).isEqualTo(ClaimOutcome.CLAIM_UNKNOWN);
        assertThat(mTable.claim(claim("c1", "k", "body"), 2_001)).isEqualTo(first);
    }

    /** A call that reuses a key with another body must neither run nor get the stored answer. */
    @Test
    void keyWithAnotherBodyIsRefusedInEveryState() {
        outcome("c1", "k", "body", 0);
        assertThat(outcome("c2", "k", "other", 1)).isEqualTo(ClaimOutcome.CLAIM_KEY_REUSED);
        assertThat(end("c1", "k", DONE, 10)).isTrue();
        assertThat(outcome("c2", "k", "other", 2)).isEqualTo(ClaimOutcome.CLAIM_KEY_REUSED);
    }

    /** A late report of an earlier attempt must not reopen or end the current one. */
    @Test
    void notRunAllowsTheNextAttemptAndEndsTheEarlierClaim() {
        outcome("c1", "k", "body", 0);
        assertThat(end("c1", "k", NOT_RUN, 0)).isTrue();
        assertThat(end("c1", "k", DONE, 0)).isFalse();
        assertThat(mTable.claim(claim("c2", "k", "body"), 1).getAttempt()).isEqualTo(2);
        assertThat(end("c1", "k", NOT_RUN, 0)).isFalse();
        assertThat(outcome("c3", "k", "body", 2)).isEqualTo(ClaimOutcome.CLAIM_IN_PROGRESS);
    }

    /** Large answers must not bloat the log and the snapshots. */
    @Test
    void answerOverTheLimitIsDoneButNotKept() {
        outcome("c1", "k", "body", 0);
        outcome("c2", "k2", "body", 0);
        end("c1", "k", DONE, MAX_BODY_BYTES);
        end("c2", "k2", DONE, MAX_BODY_BYTES + 1);
        StoredAnswer kept = mTable.claim(claim("c3", "k", "body"), 1).getAnswer();
        StoredAnswer notKept = mTable.claim(claim("c3", "k2", "body"), 1).getAnswer();
        assertThat(kept.getBody().size()).isEqualTo(MAX_BODY_BYTES);
        assertThat(notKept.getBodyKept()).isFalse();
        assertThat(notKept.getBody().isEmpty()).isTrue();
        assertThat(notKept.getStatus()).isEqualTo(200);
    }

    /** Without expiry records exhaust memory; early expiry would allow a second execution. */
    @Test
    void recordIsKeptForExactlyOneDay() {
        long day = 24 * 60 * 60 * 1000L;
        outcome("c1", "k", "body", 0);
        assertThat(outcome("c2", "k", "body", day - 1)).isEqualTo(ClaimOutcome.CLAIM_UNKNOWN);
        outcome("c3", "other", "body", day);
        assertThat(mTable.size()).isEqualTo(1);
    }

    /** A flood of keys must neither exhaust memory nor evict claims of other customers. */
    @Test
    void fullTableRefusesNewKeysAndKeepsTheOldOnes() {
        ClaimTable table = new ClaimTable(8, 25);
        for (int i = 0; i < 20; i++) {
            table.claim(claim("c" + i, "k" + i, "body"), 0);
            table.end(report("c" + i, "k" + i, DONE, 10), 0);
        }
        assertThat(table.size()).isEqualTo(2);
        assertThat(table.claim(claim("x", "k0", "body"), 1).getOutcome())
                .isEqualTo(ClaimOutcome.CLAIM_DONE);
        assertThat(table.claim(claim("x", "k9", "body"), 1).getOutcome())
                .isEqualTo(ClaimOutcome.CLAIM_UNAVAILABLE);
        for (int i = 0; i < 20; i++) {
            ClaimRequest c = claim("d" + i, "k", "body").toBuilder().setCustomer("d" + i).build();
            table.claim(c, 0);
            table.end(report("d" + i, "k", DONE, 10).toBuilder().setCustomer("d" + i).build(), 0);
        }
        assertThat(table.size()).isEqualTo(8);
        assertThat(table.answerBytes()).isEqualTo(20);
    }

    /** Members restored from a snapshot must give the same replies as the others. */
    @Property(seed = "20260412", tries = 500)
    void restoredMemberGivesTheSameRepliesAsTheOthers(
            @ForAll @Size(min = 80, max = 160) List<@IntRange(max = 9_999) Integer> commands,
            @ForAll @IntRange(max = 120) int restoreAt) {
        ClaimTable table = new ClaimTable(60, 40);
        ClaimTable other = new ClaimTable(60, 40);
        long nowMillis = 0;
        for (int i = 0; i < commands.size(); i++) {
            int c = commands.get(i);
            if (i == restoreAt) {
                other = new ClaimTable(60, 40);
                other.restore(table.records());
            }
            nowMillis += c % 7 == 0 ? 20_000_000 : c % 5 * 300L - 200;
            String key = "k" + c / 10 % 10;
            String claimId = "c" + c / 100 % 4;
            if (c % 2 == 0) {
                ClaimRequest request = claim(claimId, key, "body" + c / 400 % 5 / 4);
                assertThat(other.claim(request, nowMillis))
                        .isEqualTo(table.claim(request, nowMillis));
            } else {
                ClaimEnd end = report(claimId, key, ClaimEndState.forNumber(1 + c / 400 % 3), 15);
                assertThat(other.end(end, nowMillis)).isEqualTo(table.end(end, nowMillis));
            }
            if (i >= restoreAt) {
                assertThat(other.records()).isEqualTo(table.records());
            }
        }
    }

    private ClaimOutcome outcome(String claimId, String key, String body, long nowMillis) {
        return mTable.claim(claim(claimId, key, body), nowMillis).getOutcome();
    }

    private boolean end(String claimId, String key, ClaimEndState state, int bytes) {
        return mTable.end(report(claimId, key, state, bytes), 0).getCommitted();
    }

    private static ClaimRequest claim(String claimId, String key, String body) {
        return ClaimRequest.newBuilder()
                .setClaimId(claimId)
                .setCustomer("customer")
                .setRequestKey(key)
                .setBodyHash(ByteString.copyFromUtf8(body))
                .setRouter("r")
                .setTimeoutMillis(1_000)
                .build();
    }

    private static ClaimEnd report(String claimId, String key, ClaimEndState state, int bytes) {
        return ClaimEnd.newBuilder()
                .setClaimId(claimId)
                .setCustomer("customer")
                .setRequestKey(key)
                .setState(state)
                .setAnswer(
                        StoredAnswer.newBuilder()
                                .setStatus(200)
                                .setBody(ByteString.copyFrom(new byte[bytes]))
                                .setBodyKept(true))
                .build();
    }
}
