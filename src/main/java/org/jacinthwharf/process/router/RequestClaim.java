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
 * Writes the claims of one keyed call and their ends.
 *
 * <p>Used on the event loop only.
 */
final class RequestClaim {
    private final CallerRequest mRequest;
    private final RouterIncarnation mSelf;
    private final ClaimClient mClient;
    private String mClaimId = "";

    RequestClaim(CallerRequest request, RouterIncarnation self, ClaimClient client) {
        mRequest = request;
        mSelf = self;
        mClient = client;
    }

    /** Sends a claim; the request must have a key. */
    void claim(Decision.Claim claim, Consumer<ClaimReply> onReply) {
        mClaimId = claim.claimId();
        ClaimRequest message =
                ClaimRequest.newBuilder()
                        .setClaimId(claim.claimId())
                        .setCustomer(mRequest.customer().value())
                        .setRequestKey(mRequest.key().orElseThrow().value())
                        .setBodyHash(bodyHash())
                        .setRouter(mSelf.vm().value())
                        .setRouterIncarnation(mSelf.incarnation())
                        .setTimeoutMillis(claim.timeoutMillis())
                        .build();
        mClient.claim(message, onReply);
    }

    /** Ends the last claim; {@code answer} is kept for repeated calls if the call is done. */
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

    /** Returns what tells another call under the same key apart: SHA-256 of the whole call. */
    private ByteString bodyHash() {
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
