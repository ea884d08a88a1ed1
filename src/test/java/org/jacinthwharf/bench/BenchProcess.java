package org.jacinthwharf.bench;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A child process that runs a command of the jar. Not thread-safe. */
final class BenchProcess implements AutoCloseable {
    private static final String JAR = "target/jacinthwharf.jar";

    // Killed in a shutdown hook, so that no child outlives an interrupted benchmark.
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    private final Process mProcess;

    private BenchProcess(Process process) {
        mProcess = process;
    }

    /** Starts {@code java jvmOptions -jar ... arguments}; output goes to a file. */
    static BenchProcess start(Path log, List<String> jvmOptions, List<String> arguments)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-XX:+UseSerialGC");
        command.addAll(jvmOptions);
        command.addAll(List.of("-jar", JAR));
        command.addAll(arguments);
        File file = log.toFile();
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(file));
        Process process = builder.start();
        STARTED.add(process);
        process.onExit().thenAccept(STARTED::remove);
        return new BenchProcess(process);
    }

    long pid() {
        return mProcess.pid();
    }

    /** Requests a planned stop with SIGTERM. */
    void stop() {
        mProcess.destroy();
    }

    void kill() throws InterruptedException {
        mProcess.destroyForcibly().waitFor();
    }

    @Override
    public void close() throws InterruptedException {
        mProcess.destroy();
        if (!mProcess.waitFor(3, TimeUnit.SECONDS)) {
            kill();
        }
    }
}
