package org.jacinthwharf.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.request.admission.PolicyBench;

/**
 * Runs the parts named by the arguments, or all, and ends with 1 if a bound is exceeded.
 *
 * <p>Bounds come from the stated targets of the design page, never from earlier measurements.
 */
public final class Bench {
    private static final Path RESULT = Path.of("target/bench/result.json");

    private Bench() {}

    /** A part of the benchmark. */
    private interface Part {
        void run(BenchReport report) throws Exception;
    }

    /** Runs the benchmark. */
    public static void main(String[] args) throws IOException {
        Map<String, Part> parts = new LinkedHashMap<>();
        parts.put("policy", PolicyBench::run);
        parts.put("latency", LatencyBench::run);
        parts.put("cost", ControlCostBench::run);
        parts.put("state", ControlStateBench::run);
        parts.put("domain", DomainBench::run);
        parts.put("micro", MicroBench::run);
        List<String> chosen = args.length == 0 ? List.copyOf(parts.keySet()) : List.of(args);
        // Only by name: with it a whole run would exceed its time.
        parts.put("steady", ControlCostBench::steady);
        BenchReport report = new BenchReport(System.out);
        long started = System.nanoTime();
        for (String name : chosen) {
            try {
                parts.get(name).run(report);
            } catch (Exception e) {
                report.failed(name + ": " + e);
                e.printStackTrace(System.out);
            }
        }
        report.part("run");
        long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - started);
        report.atMost("duration", seconds, 300, "s");
        report.write(RESULT);
        System.exit(report.exceeded() == 0 ? 0 : 1);
    }
}
