package org.jacinthwharf.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One process of a fleet under test. Signals go to its process id only.
 *
 * <p>Used by one thread at a time.
 */
final class ChildProcess implements AutoCloseable {
    private static final List<String> JVM_OPTIONS =
            List.of(
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xmx64m",
                    "-Xss256k",
                    "-Djava.util.logging.SimpleFormatter.format=" + "%1$tT.%1$tL %4$s %5$s%6$s%n");

    private final List<String> mCommand = new ArrayList<>();
    private final Path mLogFile;
    private Process mProcess;

    /** Creates a process that runs a subcommand of the jar; {@link #start} starts it. */
    ChildProcess(Path log, String... arguments) {
        mLogFile = log;
        mCommand.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        mCommand.addAll(JVM_OPTIONS);
        mCommand.addAll(List.of("-cp", System.getProperty("java.class.path")));
        mCommand.add("org.jacinthwharf.cli.Main");
        mCommand.addAll(List.of(arguments));
    }

    void start() throws IOException {
        mProcess =
                new ProcessBuilder(mCommand)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(mLogFile.toFile()))
                        .start();
    }

    boolean isAlive() {
        return mProcess != null && mProcess.isAlive();
    }

    /** Kills the process with SIGKILL and waits until it has exited. */
    void kill() throws InterruptedException {
        mProcess.destroyForcibly().waitFor();
    }

    /** Requests a planned stop with SIGTERM. */
    void terminate() {
        mProcess.destroy();
    }

    /** Waits until the process has exited; returns false if it still runs after the timeout. */
    boolean awaitExit(int seconds) throws InterruptedException {
        return mProcess.waitFor(seconds, TimeUnit.SECONDS);
    }

    void suspend() throws IOException, InterruptedException {
        signal("STOP");
    }

    void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
        String pid = Long.toString(mProcess.pid());
        int status = new ProcessBuilder("kill", "-" + name, pid).start().waitFor();
        if (status != 0) {
            throw new IOException("kill -" + name + " " + pid + " ended with " + status);
        }
    }

    /** Returns the last lines of the log. */
    String logTail(int lines) throws IOException {
        List<String> all = Files.readAllLines(mLogFile);
        return String.join("\n", all.subList(Math.max(0, all.size() - lines), all.size()));
    }

    @Override
    public void close() throws InterruptedException {
        if (isAlive()) {
            kill();
        }
    }
}
