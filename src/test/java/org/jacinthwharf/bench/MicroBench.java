package org.jacinthwharf.bench;

import java.nio.file.Path;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;

/** Runs the JMH benchmarks of single decisions, each in a forked JVM. */
final class MicroBench {
    private MicroBench() {}

    static void run(BenchReport report) throws Exception {
        report.section("6 cost per decision (JMH, average time, one fork)");
        var options =
                new OptionsBuilder()
                        .include("org\\.jacinthwharf\\..*Benchmark\\..*")
                        .forks(1)
                        .warmupIterations(2)
                        .warmupTime(TimeValue.milliseconds(500))
                        .measurementIterations(3)
                        .measurementTime(TimeValue.milliseconds(500))
                        .jvmArgs("-XX:+UseSerialGC", "-Xmx160m")
                        .verbosity(VerboseMode.SILENT)
                        .output(Path.of("target/bench/jmh.txt").toString())
                        .shouldFailOnError(true)
                        .build();
        for (RunResult result : new Runner(options).run()) {
            String name = result.getParams().getBenchmark();
            name = name.substring(name.lastIndexOf('.', name.lastIndexOf('.') - 1) + 1);
            var primary = result.getPrimaryResult();
            report.add(name, primary.getScore(), primary.getScoreUnit());
            report.add(
                    name + ", standard deviation",
                    primary.getStatistics().getStandardDeviation(),
                    primary.getScoreUnit());
        }
    }
}
