package org.jacinthwharf.request.dispatch;

import java.util.OptionalDouble;
import org.jacinthwharf.connection.ServerAddress;
import org.jacinthwharf.wire.generated.ServerLoad;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerStatus;

/**
 * One incarnation of a backend server as a gateway sees it: what it announced, what runs there, and
 * how it answers.
 *
 * <p>Not thread-safe. Invariant: counts of running requests and tokens are never negative.
 */
public final class BackendServer {
    /** Consecutive failures after which a server is ejected. */
    private static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;

    private static final long INITIAL_EJECTION_NANOS = 1_000_000_000L;
    private static final long MAX_EJECTION_NANOS = 8_000_000_000L;

    /** Short, since partitions end, and a probe before that only costs one request a retry. */
    private static final long MAX_UNREACHABLE_EJECTION_NANOS = 2_000_000_000L;

    /** A server that was not ejected for this long starts again with the shortest ejection. */
    private static final long EJECTION_RESET_NANOS = 10_000_000_000L;

    /**
     * Bounds of the time for which a rejection raises the load that stale loads give. The lower one
     * is about the time in which one of a dozen running requests ends.
     */
    private static final long MIN_FULL_NANOS = 50_000_000L;

    private static final long MAX_FULL_NANOS = 400_000_000L;

    /** Window in which a server's answers are compared with those of its peers. */
    private static final long ANSWERS_WINDOW_NANOS = 4_000_000_000L;

    /** Fraction of an engine's KV cache that is assumed to hold prompts of this gateway. */
    private static final double OWN_CACHE_FRACTION = 0.3;

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final String mId;
    private final long mBornMillis;
    private final long mHash;
    private final SlidingWindowCounter mSentRecently =
            new SlidingWindowCounter(SECOND_NANOS + 100_000_000L);
    private final NamedRate mNamedRate = new NamedRate();
    private long mLastSentNanos = Long.MIN_VALUE / 2;
    private ServerRecord mRecord = ServerRecord.getDefaultInstance();

    /** Set by the first update, before the server is in a table. */
    private ServerAddress mAddress;

    private long mLastReceivedNanos;
    private long mColdUntilNanos;
    private boolean mLeaving;
    private long mPausedUntilNanos = Long.MIN_VALUE / 2;
    private int mRunning;
    private long mPendingPrefillTokens;
    private long mHeldTokens;
    private ServerLoad mOtherGatewaysLoad = ServerLoad.getDefaultInstance();
    private int mRejectedRunning;
    private long mFullUntilNanos = Long.MIN_VALUE / 2;
    private long mFullNanos = MIN_FULL_NANOS;
    private long mLastPendingPrefillNanos = Long.MIN_VALUE / 2;
    private SlidingWindowCounter mAnswers = new SlidingWindowCounter(ANSWERS_WINDOW_NANOS);
    private SlidingWindowCounter mFailedAnswers = new SlidingWindowCounter(ANSWERS_WINDOW_NANOS);
    private boolean mUnreachable;
    private int mConsecutiveFailures;
    private long mEjectionNanos = INITIAL_EJECTION_NANOS;
    private long mEjectedUntilNanos = Long.MIN_VALUE / 2;
    private PrefixCacheEstimate mPrefixCache = new PrefixCacheEstimate(0);
    private long mCacheTokens;

    BackendServer(String id, long bornMillis) {
        mId = id;
        mBornMillis = bornMillis;
        mHash = Rendezvous.hash(id);
    }

    void update(
            ServerRecord record,
            ServerAddress address,
            long lastReceivedNanos,
            long coldUntilNanos) {
        mRecord = record;
        mAddress = address;
        mLastReceivedNanos = lastReceivedNanos;
        mColdUntilNanos = coldUntilNanos;
    }

    /** Returns the id that the server announces. */
    public String id() {
        return mId;
    }

    /** Returns the hash of the id, for rendezvous hashing of prompts. */
    long hash() {
        return mHash;
    }

    /** Returns when this incarnation started, in Unix milliseconds; 0 if not announced. */
    public long bornMillis() {
        return mBornMillis;
    }

    /** Returns the service that the server belongs to. */
    public String service() {
        return mRecord.getService();
    }

    /** Returns where the server accepts connections. */
    public ServerAddress address() {
        return mAddress;
    }

    /** Returns the failure domain that the server is in. */
    public String failureDomain() {
        return mRecord.getFailureDomain();
    }

    /** Returns the version that the server runs. */
    public String version() {
        return mRecord.getVersion();
    }

    /** Returns how many requests the server runs concurrently. */
    public int slots() {
        return Math.max(1, mRecord.getSlots());
    }

    /** Returns the status that the server last announced. */
    public ServerStatus status() {
        return mRecord.getStatus();
    }

    /** Returns when the last announcement of the server was received. */
    public long lastReceivedNanos() {
        return mLastReceivedNanos;
    }

    /** Returns whether the server is in cold start. */
    public boolean isCold(long nowNanos) {
        return nowNanos < mColdUntilNanos;
    }

    /** Sets the end of the cold start that the server reported. */
    public void setColdUntil(long untilNanos) {
        mColdUntilNanos = untilNanos;
    }

    /** Records that the server said it is about to stop; returns whether that is news. */
    public boolean setLeaving() {
        boolean news = !mLeaving;
        mLeaving = true;
        return news;
    }

    /** Returns whether the server said that it is about to stop, which it never takes back. */
    boolean isLeaving() {
        return mLeaving;
    }

    /** Records until when the server wants no requests of this gateway. */
    public void pauseUntil(long untilNanos) {
        mPausedUntilNanos = Math.max(mPausedUntilNanos, untilNanos);
    }

    /** Returns whether the server wants no requests of this gateway now. */
    boolean isPaused(long nowNanos) {
        return nowNanos < mPausedUntilNanos;
    }

    /** Returns the number of requests of this gateway that run there. */
    public int running() {
        return mRunning;
    }

    /** Returns the number of requests of all gateways that run there. */
    int totalRunning() {
        return mRunning + Math.max(mRejectedRunning, mOtherGatewaysLoad.getRunning());
    }

    /** Returns the prompt tokens of all gateways that are not prefilled yet. */
    long totalPendingPrefillTokens() {
        return mPendingPrefillTokens + mOtherGatewaysLoad.getUnreadTokens();
    }

    /** Records the time if there are pending prefill tokens. */
    void recordPendingPrefill(long nowNanos) {
        if (totalPendingPrefillTokens() > 0) {
            mLastPendingPrefillNanos = nowNanos;
        }
    }

    /** Returns when pending prefill tokens were last observed. */
    long lastPendingPrefillNanos() {
        return mLastPendingPrefillNanos;
    }

    /** Returns the tokens that requests of all gateways hold there besides shared prefixes. */
    long totalHeldTokens() {
        return mHeldTokens + mOtherGatewaysLoad.getHeldTokens();
    }

    ServerLoad otherGatewaysLoad() {
        return mOtherGatewaysLoad;
    }

    void setOtherGatewaysLoad(ServerLoad load) {
        mOtherGatewaysLoad = load;
    }

    /** Ends the effect of rejections, since a newer load is known. */
    void forgetRejections() {
        mRejectedRunning = 0;
        mFullNanos = MIN_FULL_NANOS;
        mFullUntilNanos = Long.MIN_VALUE / 2;
    }

    /**
     * Counts the slots that this gateway does not use as used by others, since the server rejected
     * a request and the next update of their load is late. Ends with that update or after a time
     * that grows with consecutive rejections.
     */
    void onRejected(long nowNanos) {
        if (nowNanos >= mFullUntilNanos) {
            mRejectedRunning = Math.max(0, slots() - mRunning);
            mFullUntilNanos = nowNanos + mFullNanos;
            mFullNanos = Math.min(MAX_FULL_NANOS, 2 * mFullNanos);
        }
    }

    /** Ends the effect of rejections when their time is over. */
    void expireRejections(long nowNanos) {
        if (nowNanos >= mFullUntilNanos) {
            mRejectedRunning = 0;
        }
    }

    ServerLoad ownLoad() {
        return ServerLoad.newBuilder()
                .setServer(mId)
                .setBornMillis(mBornMillis)
                .setRunning(mRunning)
                .setUnreadTokens(mPendingPrefillTokens)
                .setHeldTokens(mHeldTokens)
                .build();
    }

    /** Records the rate that the server named in an answer; returns whether the rate changed. */
    public boolean onNamedRate(OptionalDouble rate, long nowNanos) {
        return mNamedRate.onAnswer(rate, nowNanos);
    }

    /** Returns the requests a second that the server takes from all gateways together. */
    public OptionalDouble namedRate(long nowNanos) {
        return mNamedRate.rate(nowNanos);
    }

    NamedRate namedRate() {
        return mNamedRate;
    }

    /** Returns when this gateway last sent a request there. */
    long lastSentNanos() {
        return mLastSentNanos;
    }

    void onSent(long prefillTokens, long heldTokens, long nowNanos) {
        mLastSentNanos = nowNanos;
        mRunning++;
        mPendingPrefillTokens += prefillTokens;
        mHeldTokens += heldTokens;
        mSentRecently.add(nowNanos);
    }

    void onPrefilled(long prefillTokens) {
        mPendingPrefillTokens = Math.max(0, mPendingPrefillTokens - prefillTokens);
    }

    void onEnded(long heldTokens) {
        mRunning = Math.max(0, mRunning - 1);
        mHeldTokens = Math.max(0, mHeldTokens - heldTokens);
    }

    /** Returns the number of requests that this gateway sent there in the last second. */
    int sentRecently(long nowNanos) {
        return mSentRecently.count(nowNanos);
    }

    /** Records an answer that was not a failure. */
    public void onSuccess(long nowNanos) {
        mConsecutiveFailures = 0;
        mUnreachable = false;
        mFullNanos = MIN_FULL_NANOS;
        mAnswers.add(nowNanos);
    }

    /** Records a failure; consecutive failures eject the server for an increasing time. */
    public void onFailure(long nowNanos) {
        mConsecutiveFailures++;
        mUnreachable = false;
        mAnswers.add(nowNanos);
        mFailedAnswers.add(nowNanos);
        if (mConsecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT) {
            eject(nowNanos);
        }
    }

    /** Ejects the server for a while and resets the counts of its answers. */
    void eject(long nowNanos) {
        eject(nowNanos, MAX_EJECTION_NANOS);
    }

    private void eject(long nowNanos, long maxNanos) {
        if (isEjected(nowNanos)) {
            return;
        }
        if (nowNanos - mEjectedUntilNanos > EJECTION_RESET_NANOS) {
            mEjectionNanos = INITIAL_EJECTION_NANOS;
        }
        mEjectedUntilNanos = nowNanos + mEjectionNanos;
        mEjectionNanos = Math.min(maxNanos, 2 * mEjectionNanos);
        mAnswers = new SlidingWindowCounter(ANSWERS_WINDOW_NANOS);
        mFailedAnswers = new SlidingWindowCounter(ANSWERS_WINDOW_NANOS);
    }

    /** Returns the number of answers in the window, including failures. */
    int answers(long nowNanos) {
        return mAnswers.count(nowNanos);
    }

    /** Returns the number of failures in the window. */
    int failedAnswers(long nowNanos) {
        return mFailedAnswers.count(nowNanos);
    }

    /** Ejects the server at once: connecting failed, or another server has its address. */
    public void onUnreachable(long nowNanos) {
        mUnreachable = true;
        eject(nowNanos, MAX_UNREACHABLE_EJECTION_NANOS);
    }

    /** Returns whether the last request sent there did not reach it. */
    boolean isUnreachable() {
        return mUnreachable;
    }

    boolean isEjected(long nowNanos) {
        return nowNanos < mEjectedUntilNanos;
    }

    /** Returns how many tokens of the prompt this gateway estimates to be cached there. */
    int cachedTokens(Prompt prompt) {
        return mPrefixCache.cachedTokens(prompt.segments());
    }

    void addToPrefixCache(Prompt prompt, long cacheTokens) {
        if (cacheTokens != mCacheTokens) {
            mCacheTokens = cacheTokens;
            mPrefixCache = new PrefixCacheEstimate((long) (OWN_CACHE_FRACTION * cacheTokens));
        }
        mPrefixCache.add(prompt.segments());
    }

    @Override
    public String toString() {
        return mId + "@" + mAddress;
    }
}
