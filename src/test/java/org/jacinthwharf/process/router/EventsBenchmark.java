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

/** Measures parsing one event of a stream in the form that an engine sends. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class EventsBenchmark {
    private final ServerSentEventCodec mEventCodec = new ServerSentEventCodec();
    private final ByteString mChunk =
            ByteString.copyFromUtf8(
                    "id: 117\nevent: token\ndata: {\"text\":\"9f86d081-116 \"}\n\n");

    /** Parses one event. */
    @Benchmark
    public List<ServerSentEventCodec.Event> feedOneEvent() {
        return mEventCodec.feed(mChunk);
    }
}
