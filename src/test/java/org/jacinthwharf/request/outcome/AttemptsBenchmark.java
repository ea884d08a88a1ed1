package org.jacinthwharf.request.outcome;

import java.util.concurrent.TimeUnit;
import org.jacinthwharf.id.RequestId;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;

/** Measures the attempt decisions of one idempotent request that is answered immediately. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class AttemptsBenchmark {
    private final RequestId mId = RequestId.of("r");
    private final RetryBudget mBudget = new RetryBudget(0);
    private long mNow;

    /** Starts, sends and finishes a request. */
    @Benchmark
    public Decision oneRequest() {
        mNow += 1_000_000;
        RequestAttempts attempts =
                new RequestAttempts(
                        mId, CallKind.IDEMPOTENT, mNow + 1_000_000_000L, mBudget, () -> "");
        attempts.start(mNow);
        attempts.beforeSend(mNow);
        return attempts.onEvent(new AttemptEvent.AnswerComplete(1), mNow);
    }
}
