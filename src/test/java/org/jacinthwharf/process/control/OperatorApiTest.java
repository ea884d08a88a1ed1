package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.jacinthwharf.id.VmId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Unauthorized, concurrent, retried and misdirected changes at the operator interface. */
final class OperatorApiTest {
    private static final String BODY = "{\"weight\": 2}";

    private final ControlStateMachine mState = new ControlStateMachine(new InMemoryClaims());
    private final SingleMemberLog mLog = new SingleMemberLog(mState);
    private final OperatorApi mApi =
            new OperatorApi(
                    new OperatorToken("secret\n"),
                    mLog,
                    mState,
                    () -> StatusReport.configuration(mState.configuration()),
                    vm -> Optional.of("http://127.0.0.1:1"),
                    () -> TestCommands.NOW);

    /** Guards against changes by anyone who can connect to the port. */
    @ParameterizedTest
    @ValueSource(
            strings = {"", "secret", "Bearer ", "Bearer secre", "Bearer secret2", "Basic secret"})
    void wrongOrMissingTokenChangesNothing(String authorization) {
        ByteString before = mState.snapshot();
        List<String> paths =
                List.of("/v1/customers/a", "/v1/failure-domains/a", "/v1/models/a", "/v1/moves");
        for (String path : paths) {
            for (String method : List.of("POST", "DELETE", "PUT")) {
                OperatorRequest request =
                        new OperatorRequest(method, path, authorization, "c", "", BODY);
                assertThat(mApi.handle(request).join().status()).isEqualTo(401);
            }
        }
        assertThat(mState.snapshot()).isEqualTo(before);
    }

    /** Guards against reporting success to both of two operators with conflicting changes. */
    @Test
    void exactlyOneOfConcurrentChangesIsAppliedAndTheOtherGetsTheCurrentRevision() {
        assertThat(put("c0", "", BODY).status()).isEqualTo(200);
        OperatorResponse first = put("c1", "\"1\"", BODY);
        OperatorResponse second = put("c2", "1", BODY);
        assertThat(first.status()).isEqualTo(200);
        assertThat(second.status()).isEqualTo(409);
        assertThat(second.body().get("revision").asLong()).isEqualTo(2);
        assertThat(mState.revision()).isEqualTo(2);
    }

    /** Guards against applying a command twice that is retried because its response was lost. */
    @Test
    void retriedCommandGetsTheSameResponseAndIsAppliedOnce() {
        OperatorResponse first = put("c1", "0", BODY);
        OperatorResponse retried = put("c1", "0", BODY);
        assertThat(retried).isEqualTo(first);
        assertThat(mState.revision()).isEqualTo(1);
    }

    /** Guards against a change that is dropped by or applied on a follower. */
    @Test
    void followerRedirectsToTheLeaderOrReportsThatNoneIsKnown() {
        mLog.mIsLeader = false;
        assertThat(put("c1", "", BODY).location()).hasValue("http://127.0.0.1:1/v1/customers/a");
        mLog.mLeader = Optional.empty();
        assertThat(put("c1", "", BODY).status()).isEqualTo(503);
        mLog.mLeader = Optional.of(VmId.of("vm1"));
        assertThat(mState.revision()).isEqualTo(0);
    }

    /** Guards against malformed input that is proposed to the log or stops the process. */
    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "{\"weight\": \"2\"}", "{\"weight\": 0}", "{} {"})
    void malformedBodyIsRefused(String body) {
        assertThat(put("c1", "", body).status()).isEqualTo(400);
        assertThat(put("", "", BODY).status()).isEqualTo(400);
        assertThat(put("c1", "x", BODY).status()).isEqualTo(400);
        assertThat(mState.revision()).isEqualTo(0);
    }

    private OperatorResponse put(String commandId, String ifMatch, String body) {
        return mApi.handle(
                        new OperatorRequest(
                                "POST",
                                "/v1/customers/a",
                                "Bearer secret",
                                commandId,
                                ifMatch,
                                body))
                .join();
    }
}
