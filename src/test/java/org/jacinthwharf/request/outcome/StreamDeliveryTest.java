package org.jacinthwharf.request.outcome;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.RequestId;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Guards against incomplete, crossed or duplicate answers (G6). */
final class StreamDeliveryTest {
    private static final RequestId REQUEST = RequestId.of("own");
    private static final long DEADLINE_NANOS = 60_000_000_000L;

    private final List<Long> mDelivered = new ArrayList<>();
    private final StreamAssembler mAssembler = StreamAssembler.fromStart();
    private final AnswerMatcher mMatcher = new AnswerMatcher(REQUEST);
    private final RequestAttempts mAttempts =
            new RequestAttempts(
                    REQUEST, CallKind.IDEMPOTENT, DEADLINE_NANOS, new RetryBudget(0), () -> "");
    private final List<String> mDecisions = new ArrayList<>();
    private long mNowNanos;
    private int mAttempt;
    private Decision mDecision = mAttempts.start(0);

    /**
     * Replays traces with one connection per attempt. The items of a connection are the attempt id
     * that the answer echoes and its events: sequence numbers and, unless the connection closes
     * early, {@code end:n}.
     */
    @TestFactory
    Stream<DynamicTest> tracesDeliverTheStatedEventsAndRetries() throws Exception {
        JsonNode traces;
        try (InputStream in = getClass().getResourceAsStream("stream-traces.json")) {
            traces = new ObjectMapper().readTree(in);
        }
        return traces.valueStream()
                .map(
                        t ->
                                DynamicTest.dynamicTest(
                                        t.get("name").asText(),
                                        () -> new StreamDeliveryTest().replay(t)));
    }

    private void replay(JsonNode trace) {
        for (JsonNode connection : trace.get("connections")) {
            List<String> items = new ArrayList<>();
            connection.forEach(i -> items.add(i.asText()));
            connection(items);
        }
        assertThat(mDelivered.toString()).isEqualTo(trace.get("delivered").asText());
        assertThat(mDecisions.toString()).isEqualTo(trace.get("decisions").asText());
    }

    /** Truncates, duplicates, drops and crosses events at random. */
    @Property(seed = "20260414", tries = 2_000)
    void callerGetsEveryEventOnceAndInOrderOrNoCompleteAnswer(
            @ForAll int faults, @ForAll @IntRange(max = 30) int events) {
        // jqwik shares one test instance between all tries.
        new StreamDeliveryTest().deliver(new Random(faults), events);
    }

    private void deliver(Random random, int events) {
        while (!(mDecision instanceof Decision.Finish)) {
            mNowNanos += 1_000_000_000;
            List<String> items = new ArrayList<>();
            items.add(random.nextInt(5) == 0 ? "other/1" : "own/" + (mAttempt + 1));
            int from = Math.max(1, (int) mAttempts.resumeAt() - random.nextInt(3));
            boolean cut = random.nextInt(3) > 0;
            int to = cut ? from + random.nextInt(10) : events;
            for (int s = from; s <= Math.min(to, events); s++) {
                items.add(String.valueOf(s));
                if (random.nextInt(10) == 0) {
                    items.add(String.valueOf(s));
                }
                s += random.nextInt(20) == 0 ? 1 : 0;
            }
            if (!cut) {
                items.add("end:" + events);
            }
            connection(items);
        }
        List<Long> all = LongStream.rangeClosed(1, events).boxed().toList();
        assertThat(mDelivered).isEqualTo(all.subList(0, mDelivered.size()));
        RequestOutcome outcome = ((Decision.Finish) mDecision).outcome();
        if (outcome instanceof RequestOutcome.Answer) {
            assertThat(mDelivered).isEqualTo(all);
        }
        assertWithMessage("outcome of a request that ran")
                .that(outcome)
                .isNotInstanceOf(RequestOutcome.NotRun.class);
    }

    /** A router that cannot parse another router's event id would restart the stream. */
    @Test
    void eventIdOfOneRouterIsReadByAnother() {
        StreamEventId id = new StreamEventId(REQUEST, BackendServerId.of("m:1"), 17);
        assertThat(StreamEventId.parse(id.toString())).hasValue(id);
        for (String s :
                List.of("", "own/m", "own/m/0", "own/m/-1", "own/m/1x", "own/m/1/2", "/m/1")) {
            assertWithMessage(s).that(StreamEventId.parse(s)).isEmpty();
        }
        assertThat(StreamAssembler.after(17).nextSequence()).isEqualTo(18);
    }

    /** An abandoned attempt must not supply the answer in place of the next one. */
    @Test
    void lateAndRepeatedAnswersAreDropped() {
        mMatcher.onSend(new AttemptId(REQUEST, 1));
        mMatcher.onAbandon();
        assertThat(mMatcher.onAnswer(AttemptId.parse("own/1"))).isEqualTo(AnswerMatcher.Match.LATE);
        mMatcher.onSend(new AttemptId(REQUEST, 2));
        assertThat(mMatcher.onAnswer(AttemptId.parse("own/1"))).isEqualTo(AnswerMatcher.Match.LATE);
        assertThat(mMatcher.onAnswer(AttemptId.parse("own/2")))
                .isEqualTo(AnswerMatcher.Match.ACCEPTED);
        assertThat(mMatcher.onAnswer(AttemptId.parse("own/2")))
                .isEqualTo(AnswerMatcher.Match.DUPLICATE);
        assertThat(mMatcher.onAnswer(Optional.empty())).isEqualTo(AnswerMatcher.Match.CROSSED);
        assertThat(mAttempts.beforeSend(0)).isInstanceOf(Decision.Send.class);
        mAttempts.onEvent(new AttemptEvent.ConnectFailed(1), 0);
        mAttempts.beforeSend(0);
        assertThat(mAttempts.onEvent(new AttemptEvent.AnswerComplete(1), 0))
                .isEqualTo(new Decision.Wait());
    }

    private void connection(List<String> items) {
        AttemptId sent = ((Decision.Send) mAttempts.beforeSend(mNowNanos)).attempt();
        mAttempt = sent.attempt();
        mMatcher.onSend(sent);
        mAssembler.onResume();
        if (mMatcher.onAnswer(AttemptId.parse(items.get(0))) != AnswerMatcher.Match.ACCEPTED) {
            decide(new AttemptEvent.CrossedAnswer(mAttempt));
            return;
        }
        for (String item : items.subList(1, items.size())) {
            StreamAssembler.Step step =
                    item.startsWith("end:")
                            ? mAssembler.onEnd(Long.parseLong(item.substring(4)))
                            : mAssembler.onEvent(Long.parseLong(item));
            if (step == StreamAssembler.Step.DELIVER) {
                mDelivered.add(Long.parseLong(item));
            }
        }
        decide(
                mAssembler.onClosed() == StreamAssembler.Step.COMPLETE
                        ? new AttemptEvent.AnswerComplete(mAttempt)
                        : new AttemptEvent.StreamTruncated(mAttempt, mAssembler.nextSequence()));
    }

    private void decide(AttemptEvent event) {
        mMatcher.onAbandon();
        mDecision = mAttempts.onEvent(event, mNowNanos);
        if (mDecision instanceof Decision.Retry r) {
            mDecisions.add(r.reason().code() + " " + r.server() + " " + r.resumeAt());
        } else if (mDecision instanceof Decision.Finish f) {
            mDecisions.add(f.outcome().toString());
        }
    }
}
