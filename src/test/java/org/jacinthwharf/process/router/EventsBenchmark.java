package org.jacinthwharf.process.router;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;

/** Splitting one event of a stream, as an engine sends it. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class EventsBenchmark {
    private final ServerSentEvents mEvents = new ServerSentEvents();
    private final ByteString mPart =
            ByteString.copyFromUtf8(
                    "id: 117\nevent: token\ndata: {\"text\":\"9f86d081-116 \"}\n\n");

    /** Feeds one event. */
    @Benchmark
    public List<ServerSentEvents.Event> feedOneEvent() {
        return mEvents.feed(mPart);
    }
}
