package org.jacinthwharf.bench;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** Reads CPU time and memory of a process from /proc. Stateless and thread-safe. */
final class ProcFs {
    // The kernel's USER_HZ, which is 100 on all Linux platforms that Java 17 supports.
    private static final double TICKS_PER_SECOND = 100;

    private ProcFs() {}

    /** Returns the user and system CPU time of a process so far, in seconds. */
    static double cpuSeconds(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        return cpuSecondsOf(stat);
    }

    private static double cpuSecondsOf(String stat) {
        // The name may contain spaces, so fields are counted from its closing parenthesis.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_SECOND;
    }

    /**
     * Returns the CPU time of each thread of a process so far, in seconds, by thread id and name;
     * threads are missing if one exits during the call.
     */
    static Map<String, Double> threadSeconds(long pid) throws IOException {
        Map<String, Double> seconds = new HashMap<>();
        Path tasks = Path.of("/proc/" + pid + "/task");
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(tasks)) {
            for (Path thread : threads) {
                String stat = Files.readString(thread.resolve("stat"));
                String name = stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')'));
                seconds.put(thread.getFileName() + " " + name, cpuSecondsOf(stat));
            }
        } catch (NoSuchFileException e) {
            // A thread exited before its file was read; only the threads read so far are returned.
            return seconds;
        }
        return seconds;
    }

    /** Returns the resident memory of a process in megabytes. */
    static double residentMegabytes(long pid) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
            }
        }
        throw new IOException("no VmRSS of process " + pid);
    }
}
