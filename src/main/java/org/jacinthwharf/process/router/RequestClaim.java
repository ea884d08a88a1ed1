package org.jacinthwharf.process.router;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.request.outcome.Decision;
import org.jacinthwharf.wire.generated.ClaimEnd;
import org.jacinthwharf.wire.generated.ClaimEndState;
import org.jacinthwharf.wire.generated.ClaimReply;
import org.jacinthwharf.wire.generated.ClaimRequest;
import org.jacinthwharf.wire.generated.StoredAnswer;

/**
 * Acquires and ends the claims of one request that has a request key.
 *
 * <p>Used on the event loop only.
 */
final class RequestClaim {
    private final CallerRequest mRequest;
    private final RouterIncarnation mRouter;
    private final ClaimClient mClient;
    private String mClaimId = "";

    RequestClaim(CallerRequest request, RouterIncarnation router, ClaimClient client) {
        mRequest = request;
        mRouter = router;
        mClient = client;
    }

    /** Sends a claim; the request must have a request key. */
    void claim(Decision.Claim claim, Consumer<ClaimReply> onReply) {
        mClaimId = claim.claimId();
        ClaimRequest message =
                ClaimRequest.newBuilder()
                        .setClaimId(claim.claimId())
                        .setCustomer(mRequest.customer().value())
                        .setRequestKey(mRequest.key().orElseThrow().value())
                        .setBodyHash(requestHash())
                        .setRouter(mRouter.vm().value())
                        .setRouterIncarnation(mRouter.incarnation())
                        .setTimeoutMillis(claim.timeoutMillis())
                        .build();
        mClient.claim(message, onReply);
    }

    /**
     * Ends the last claim.
     *
     * @param answer stored for later requests with the same key if {@code state} is done
     */
    void end(ClaimEndState state, Optional<StoredAnswer> answer, Runnable whenCommitted) {
        ClaimEnd.Builder end =
                ClaimEnd.newBuilder()
                        .setClaimId(mClaimId)
                        .setCustomer(mRequest.customer().value())
                        .setRequestKey(mRequest.key().orElseThrow().value())
                        .setState(state);
        if (state == ClaimEndState.CLAIM_END_DONE) {
            answer.ifPresent(end::setAnswer);
        }
        mClient.end(end.build(), whenCommitted);
    }

    /** Returns the SHA-256 of method, path and body, which detects reuse of the key. */
    private ByteString requestHash() {
        byte[] hash =
                Hashing.sha256()
                        .newHasher()
                        .putString(mRequest.method(), StandardCharsets.UTF_8)
                        .putChar('\n')
                        .putString(mRequest.path(), StandardCharsets.UTF_8)
                        .putChar('\n')
                        .putBytes(mRequest.body().toByteArray())
                        .hash()
                        .asBytes();
        return ByteString.copyFrom(hash);
    }
}
