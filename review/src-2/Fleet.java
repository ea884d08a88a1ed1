import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's part in starting machines: a loopback address for each machine, the same ports on
 * all, the settings from the template, and the commands of the deploy file.
 *
 * <p>Thread-safe.
 */
final class Fleet implements AutoCloseable {
    static final List<String> ZONES = List.of("z1", "z2", "z3");

    final int mFrontPort;
    final int mReadyPort;
    final int mControlPort;
    private final int mPeerPort;
    private final int mNet;
    private final Path mFolder;
    private final Record mRecord;
    private final Map<String, Object> mBounds;
    private final List<Process> mProcesses = Collections.synchronizedList(new ArrayList<>());
    private final List<String> mSeeds;

    /** One machine with one role. */
    final class Machine {
        final String mName;
        final String mRole;
        final String mZone;
        final String mIp;
        private int mDisks;
        private Process mProcess;

        private Machine(String name, String role, int zone, int number) {
            mName = name;
            mRole = role;
            mZone = ZONES.get(zone - 1);
            mIp = "127." + mNet + "." + zone + "." + number;
        }

        /** Starts the process with the disk that the machine has. */
        synchronized void start(boolean bootstrap) throws IOException {
            if (mDisks == 0) {
                mDisks = 1;
            }
            Path settings = mFolder.resolve(mName + ".json");
            Files.writeString(settings, Template.render(template(mRole), fields(bootstrap)));
            List<String> command = new ArrayList<>(List.of(run(mRole).split(" +")));
            command.replaceAll(w -> w.equals("/etc/jacinthwharf/node.toml") ? settings.toString() : w);
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("JACINTHWHARF_BOOT", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(mFolder.resolve(mName + ".log").toFile()));
            mProcess = builder.start();
            mProcesses.add(mProcess);
            mRecord.line("machine %s (%s, %s) starts, process %d, bootstrap %b, disk %d",
                    mName, mIp, mZone, mProcess.pid(), bootstrap, mDisks);
        }

        private Map<String, Object> fields(boolean bootstrap) throws IOException {
            Map<String, Object> f = new LinkedHashMap<>();
            f.put("nodeName", mName);
            f.put("ip", mIp);
            f.put("zone", mZone);
            f.put("region", "r");
            f.put("portRange", List.of(mPeerPort, mPeerPort + 1));
            f.put("seeds", mSeeds);
            f.put("bootstrap", bootstrap);
            f.put("heartbeatMs", Replica.HEARTBEAT_MILLIS);
            Map<String, Object> zones = new LinkedHashMap<>();
            ZONES.forEach(z -> zones.put(z, "r"));
            f.put("zones", zones);
            f.put("limits", Map.of("maxFds", 4096));
            f.put("bounds", mBounds);
            if (mRole.equals("gateway")) {
                f.put("listen", Map.of("front", front(), "ready", mIp + ":" + mReadyPort));
            } else {
                Path data = mFolder.resolve(mName + "-disk" + mDisks);
                Files.createDirectories(data);
                f.put("dataDir", data.toString());
                f.put("listen", Map.of("control", control()));
            }
            return f;
        }

        String front() {
            return mIp + ":" + mFrontPort;
        }

        String control() {
            return mIp + ":" + mControlPort;
        }

        /** Sends SIGTERM and waits for the end of the process. */
        void terminate(long graceMillis) throws InterruptedException {
            mRecord.line("machine %s gets SIGTERM", mName);
            mProcess.destroy();
            if (!mProcess.waitFor(graceMillis, TimeUnit.MILLISECONDS)) {
                kill();
            }
            mRecord.line("machine %s has ended, code %d", mName, mProcess.exitValue());
        }

        /** Sends SIGKILL. */
        void kill() throws InterruptedException {
            mProcess.destroyForcibly().waitFor();
            mRecord.line("machine %s is killed", mName);
        }

        /** Sends SIGSTOP. */
        void freeze() throws IOException, InterruptedException {
            signal("STOP");
        }

        /** Sends SIGCONT. */
        void thaw() throws IOException, InterruptedException {
            signal("CONT");
        }

        private void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("bash", "-c", "kill -" + name + " " + mProcess.pid()).start().waitFor();
            mRecord.line("machine %s gets SIG%s", mName, name);
        }

        /** Gives the machine an empty disk; its process must not run. */
        synchronized void loseDisk() {
            mDisks++;
            mRecord.line("machine %s has lost its disk", mName);
        }

        boolean isAlive() {
            return mProcess != null && mProcess.isAlive();
        }
    }

    Fleet(Path folder, Record record, Map<String, Object> bounds) throws IOException {
        mFolder = folder;
        mRecord = record;
        mBounds = bounds;
        Random random = new Random();
        mNet = 20 + random.nextInt(200);
        int base = 20_000 + 20 * random.nextInt(500);
        while (!areFree(base)) {
            base = 20_000 + 20 * random.nextInt(500);
        }
        mPeerPort = base;
        mFrontPort = base + 5;
        mReadyPort = base + 6;
        mControlPort = base + 7;
        mSeeds = List.of(seed(1), seed(2), seed(3));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private String seed(int zone) {
        return "127." + mNet + "." + zone + ".20:" + mControlPort;
    }

    private static boolean areFree(int base) {
        for (int p = base; p < base + 10; p++) {
            try (ServerSocket s = new ServerSocket(p, 1, InetAddress.getByName("0.0.0.0"))) {
                s.getLocalPort();
            } catch (IOException inUse) {
                return false;
            }
        }
        return true;
    }

    /** A control machine; number 20 in each of the three zones is a seed. */
    Machine core(int zone, int number) {
        return new Machine("core-" + zone + "-" + number, "control", zone, number);
    }

    Machine gateway(int zone, int number) {
        return new Machine("front-" + zone + "-" + number, "gateway", zone, number);
    }

    /** Address for a stand-in server in a zone. */
    String serverIp(int zone, int number) {
        return "127." + mNet + "." + zone + "." + number;
    }

    private static String template(String role) throws IOException {
        return Files.readString(Path.of(deployLine(role, "template")));
    }

    private static String run(String role) throws IOException {
        return deployLine(role, "run");
    }

    private static String deployLine(String role, String key) throws IOException {
        String file = Files.readString(Path.of("deploy/system.toml"));
        String section = file.substring(file.indexOf("[roles." + role + "]"));
        Matcher m = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(section);
        if (!m.find()) {
            throw new IOException("the deploy file has no " + key + " for " + role);
        }
        return m.group(1);
    }

    /** Ends all processes that were started. */
    @Override
    public void close() {
        synchronized (mProcesses) {
            mProcesses.forEach(Process::destroyForcibly);
        }
    }
}
