package org.jacinthwharf.process.gateway;

import com.google.common.base.Supplier;
import com.google.common.base.Suppliers;
import com.google.common.collect.ImmutableSet;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.jacinthwharf.request.crash.CrashSubject;
import org.jacinthwharf.request.crash.RequestFingerprint;
import org.jacinthwharf.request.dispatch.DispatchRequest;

/**
 * What one call may crash servers with.
 *
 * <p>Used on the event loop only. Invariant: the fingerprint is computed at most once, and only if
 * it is asked for, since that reads the whole body.
 */
final class CallSubjects {
    private final String mRequestId;
    private final ImmutableSet<CrashSubject> mSegments;
    private final ImmutableSet<CrashSubject> mBegunSegments;
    private final Supplier<CrashSubject> mRequest;

    /** Creates the subjects of a call; its request must be retained while they are asked for. */
    CallSubjects(FullHttpRequest request, String requestId, DispatchRequest dispatch) {
        mRequestId = requestId;
        ImmutableSet<String> ids = dispatch.prompt().leadingSegmentIds();
        mSegments = ids.stream().map(CrashSubject::segment).collect(ImmutableSet.toImmutableSet());
        mBegunSegments =
                ids.stream().map(CrashSubject::begunSegment).collect(ImmutableSet.toImmutableSet());
        mRequest =
                Suppliers.memoize(
                        () ->
                                RequestFingerprint.of(
                                        dispatch.customer().value(),
                                        request.method().name(),
                                        request.headers().get(HttpHeaderNames.HOST, ""),
                                        request.uri(),
                                        request.content().nioBuffers()));
    }

    String requestId() {
        return mRequestId;
    }

    /** Returns the segments of the prompt that other prompts may have in common. */
    ImmutableSet<CrashSubject> segments() {
        return mSegments;
    }

    /** Returns the same segments as subjects of an answer that has begun. */
    ImmutableSet<CrashSubject> begunSegments() {
        return mBegunSegments;
    }

    /** Returns what may have crashed a server that was lost with the call. */
    ImmutableSet<CrashSubject> lost(boolean answerBegun) {
        return withRequest(answerBegun ? mBegunSegments : mSegments);
    }

    /** Returns all subjects but the request, which costs a fingerprint. */
    ImmutableSet<CrashSubject> allSegments() {
        return ImmutableSet.<CrashSubject>builder()
                .addAll(mSegments)
                .addAll(mBegunSegments)
                .build();
    }

    /** Returns the request as a whole. */
    CrashSubject request() {
        return mRequest.get();
    }

    /** Returns all subjects. */
    ImmutableSet<CrashSubject> all() {
        return withRequest(allSegments());
    }

    private ImmutableSet<CrashSubject> withRequest(ImmutableSet<CrashSubject> segments) {
        return ImmutableSet.<CrashSubject>builder().addAll(segments).add(request()).build();
    }
}
