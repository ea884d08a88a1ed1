package org.jacinthwharf.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.request.admission.PolicyBench;

/**
 * Runs the sections named by the arguments, or all, and exits with 1 if a bound is exceeded.
 *
 * <p>Bounds are the targets of the design page, not earlier measurements.
 */
public final class Bench {
    private static final Path RESULT = Path.of("target/bench/result.json");

    private Bench() {}

    /** A section of the benchmark. */
    private interface Section {
        void run(BenchReport report) throws Exception;
    }

    /** Runs the benchmark. */
    public static void main(String[] args) throws IOException {
        Map<String, Section> sections = new LinkedHashMap<>();
        sections.put("policy", PolicyBench::run);
        sections.put("latency", LatencyBench::run);
        sections.put("cost", ControlCostBench::run);
        sections.put("state", ControlStateBench::run);
        sections.put("domain", FailureDomainBench::run);
        sections.put("micro", MicroBench::run);
        List<String> selected = args.length == 0 ? List.copyOf(sections.keySet()) : List.of(args);
        // Runs only by name, because a full run with it would exceed the time limit.
        sections.put("steady", ControlCostBench::steady);
        BenchReport report = new BenchReport(System.out);
        long started = System.nanoTime();
        for (String name : selected) {
            try {
                sections.get(name).run(report);
            } catch (Exception e) {
                report.failed(name + ": " + e);
                e.printStackTrace(System.out);
            }
        }
        report.section("run");
        long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - started);
        report.atMost("duration", seconds, 300, "s");
        report.write(RESULT);
        System.exit(report.exceeded() == 0 ? 0 : 1);
    }
}
