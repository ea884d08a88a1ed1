package org.jacinthwharf.request.dispatch;

import org.jacinthwharf.wire.generated.ServerLoad;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerStatus;

/**
 * One life of a backend server as a gateway sees it: what it said, what runs there, how it answers.
 *
 * <p>Not thread-safe. Invariant: counts of running requests and tokens are never negative.
 */
public final class BackendServer {
    /** Failures in a row after which a server is left out for a while. */
    private static final int FAILURES_TO_EJECT = 3;

    private static final long FIRST_EJECTION_NANOS = 1_000_000_000L;
    private static final long LONGEST_EJECTION_NANOS = 8_000_000_000L;

    /** A cut heals at some moment; until then each try costs one request a detour. */
    private static final long LONGEST_UNREACHABLE_NANOS = 2_000_000_000L;

    /** A server that was not left out for this long starts again with a short time. */
    private static final long EJECTION_FORGOTTEN_NANOS = 10_000_000_000L;

    /** Answers of this time are compared with those of the other servers. */
    private static final long ANSWERS_WINDOW_NANOS = 4_000_000_000L;

    /** Part of an engine's cache that this gateway's prompts are expected to find kept. */
    private static final double KEPT_PART = 0.3;

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final String mId;
    private final long mBornMillis;
    private final long mHash;
    private final SlidingCount mSentRecently = new SlidingCount(SECOND_NANOS + 100_000_000L);
    private ServerRecord mRecord = ServerRecord.getDefaultInstance();
    private long mLastReceivedNanos;
    private long mColdUntilNanos;
    private int mRunning;
    private long mUnreadTokens;
    private long mHeldTokens;
    private ServerLoad mOthers = ServerLoad.getDefaultInstance();
    private long mLastUnreadNanos = Long.MIN_VALUE / 2;
    private SlidingCount mAnswers = new SlidingCount(ANSWERS_WINDOW_NANOS);
    private SlidingCount mFailedAnswers = new SlidingCount(ANSWERS_WINDOW_NANOS);
    private boolean mUnreachable;
    private int mFailures;
    private long mEjectionNanos = FIRST_EJECTION_NANOS;
    private long mEjectedUntilNanos = Long.MIN_VALUE / 2;
    private PromptMemory mPrompts = new PromptMemory(0);
    private long mCacheTokens;

    BackendServer(String id, long bornMillis) {
        mId = id;
        mBornMillis = bornMillis;
        mHash = Rendezvous.hash(id);
    }

    void take(ServerRecord record, long lastReceivedNanos, long coldUntilNanos) {
        mRecord = record;
        mLastReceivedNanos = lastReceivedNanos;
        mColdUntilNanos = coldUntilNanos;
    }

    /** Returns the id that the server chose. */
    public String id() {
        return mId;
    }

    /** Returns the hash of the id, by which prompts are spread. */
    long hash() {
        return mHash;
    }

    /** Returns when this life started, in milliseconds since the epoch; 0 if it does not say. */
    public long bornMillis() {
        return mBornMillis;
    }

    /** Returns the service that the server belongs to. */
    public String service() {
        return mRecord.getService();
    }

    /** Returns {@code "ip:port"}. */
    public String address() {
        return mRecord.getAddress();
    }

    /** Returns the failure domain that the server is in. */
    public String failureDomain() {
        return mRecord.getFailureDomain();
    }

    /** Returns the version that the server runs. */
    public String version() {
        return mRecord.getVersion();
    }

    /** Returns the requests that the server runs at once. */
    public int slots() {
        return Math.max(1, mRecord.getSlots());
    }

    /** Returns what the server last said about itself. */
    public ServerStatus status() {
        return mRecord.getStatus();
    }

    /** Returns when the server was last heard from. */
    public long lastReceivedNanos() {
        return mLastReceivedNanos;
    }

    /** Returns whether the server is in cold start. */
    public boolean isCold(long nowNanos) {
        return nowNanos < mColdUntilNanos;
    }

    /** Takes note that the server said how long it stays cold. */
    public void setCold(long untilNanos) {
        mColdUntilNanos = untilNanos;
    }

    /** Returns the requests of this gateway that run there. */
    public int running() {
        return mRunning;
    }

    /** Returns the requests of all gateways that run there. */
    int runningOfAll() {
        return mRunning + mOthers.getRunning();
    }

    /** Returns the prompt tokens of all gateways that wait to be read there. */
    long unreadOfAll() {
        return mUnreadTokens + mOthers.getUnreadTokens();
    }

    /** Takes note whether prompts wait to be read there. */
    void observe(long nowNanos) {
        if (unreadOfAll() > 0) {
            mLastUnreadNanos = nowNanos;
        }
    }

    /** Returns when prompts were last seen to wait there. */
    long lastUnreadNanos() {
        return mLastUnreadNanos;
    }

    /** Returns the tokens that requests of all gateways hold there. */
    long heldOfAll() {
        return mHeldTokens + mOthers.getHeldTokens();
    }

    void setOthers(ServerLoad others) {
        mOthers = others;
    }

    ServerLoad ownLoad() {
        return ServerLoad.newBuilder()
                .setServer(mId)
                .setBornMillis(mBornMillis)
                .setRunning(mRunning)
                .setUnreadTokens(mUnreadTokens)
                .setHeldTokens(mHeldTokens)
                .build();
    }

    void onSent(long unread, long held, long nowNanos) {
        mRunning++;
        mUnreadTokens += unread;
        mHeldTokens += held;
        mSentRecently.add(nowNanos);
    }

    void onRead(long unread) {
        mUnreadTokens = Math.max(0, mUnreadTokens - unread);
    }

    void onEnded(long held) {
        mRunning = Math.max(0, mRunning - 1);
        mHeldTokens = Math.max(0, mHeldTokens - held);
    }

    /** Returns the requests that this gateway sent there in the last second. */
    int sentRecently(long nowNanos) {
        return mSentRecently.count(nowNanos);
    }

    /** Takes note of an answer that was not a failure. */
    public void onSuccess(long nowNanos) {
        mFailures = 0;
        mUnreachable = false;
        mAnswers.add(nowNanos);
    }

    /** Takes note of a failure; several in a row leave the server out for a growing time. */
    public void onFailure(long nowNanos) {
        mFailures++;
        mUnreachable = false;
        mAnswers.add(nowNanos);
        mFailedAnswers.add(nowNanos);
        if (mFailures >= FAILURES_TO_EJECT) {
            eject(nowNanos);
        }
    }

    /** Leaves the server out for a while; what it answered before no longer counts. */
    void eject(long nowNanos) {
        eject(nowNanos, LONGEST_EJECTION_NANOS);
    }

    private void eject(long nowNanos, long longestNanos) {
        if (isEjected(nowNanos)) {
            return;
        }
        if (nowNanos - mEjectedUntilNanos > EJECTION_FORGOTTEN_NANOS) {
            mEjectionNanos = FIRST_EJECTION_NANOS;
        }
        mEjectedUntilNanos = nowNanos + mEjectionNanos;
        mEjectionNanos = Math.min(longestNanos, 2 * mEjectionNanos);
        mAnswers = new SlidingCount(ANSWERS_WINDOW_NANOS);
        mFailedAnswers = new SlidingCount(ANSWERS_WINDOW_NANOS);
    }

    /** Returns the answers of the last seconds, failures among them. */
    int answers(long nowNanos) {
        return mAnswers.count(nowNanos);
    }

    /** Returns the failures among the answers of the last seconds. */
    int failedAnswers(long nowNanos) {
        return mFailedAnswers.count(nowNanos);
    }

    /** Leaves the server out at once: no connection was made, or another one has its address. */
    public void onUnreachable(long nowNanos) {
        mUnreachable = true;
        eject(nowNanos, LONGEST_UNREACHABLE_NANOS);
    }

    /** Returns whether the last request sent there did not reach it. */
    boolean isUnreachable() {
        return mUnreachable;
    }

    boolean isEjected(long nowNanos) {
        return nowNanos < mEjectedUntilNanos;
    }

    /** Returns how many tokens of the prompt this gateway believes to be cached there. */
    int cached(Prompt prompt) {
        return mPrompts.cached(prompt.segments());
    }

    void remember(Prompt prompt, long cacheTokens) {
        if (cacheTokens != mCacheTokens) {
            mCacheTokens = cacheTokens;
            mPrompts = new PromptMemory((long) (KEPT_PART * cacheTokens));
        }
        mPrompts.add(prompt.segments());
    }

    @Override
    public String toString() {
        return mId + "@" + address();
    }
}
