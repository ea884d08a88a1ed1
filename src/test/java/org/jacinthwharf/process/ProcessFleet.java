package org.jacinthwharf.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.Callable;
import org.jacinthwharf.process.settings.Endpoint;
import org.jacinthwharf.standin.StandInOptions;
import org.jacinthwharf.standin.StandInServer;

/**
 * Control members and routers as separate processes on loopback, with a relay on every link between
 * two of them, and stand-in backend servers inside the test process.
 *
 * <p>Confined to the test's thread, except for the addresses. Processes are named c1, c2, ... and
 * r1, r2, ...; {@link #close} terminates all of them.
 */
final class ProcessFleet implements AutoCloseable {
    /** Timeout of conditions without a guaranteed time; other work may use the machine's cores. */
    static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(40);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    private static final String TOKEN = "token-of-this-test";
    private final Path mFolder;
    private final Map<String, String> mFailureDomains = new TreeMap<>();
    private final Map<String, ChildProcess> mProcesses = new TreeMap<>();
    private final Map<String, Map<String, String>> mListenAddresses = new TreeMap<>();
    private final Map<String, Relay> mRelays = new TreeMap<>();
    private final Map<String, String> mServerAddresses = new TreeMap<>();
    private final List<StandInServer> mServers = new ArrayList<>();

    /**
     * Starts a fleet and waits until it accepts changes and all routers are ready.
     *
     * @param control failure domain of each control member
     * @param routers failure domain of each router
     */
    ProcessFleet(Path folder, List<String> control, List<String> routers) throws Exception {
        mFolder = folder;
        for (int i = 0; i < control.size(); i++) {
            mFailureDomains.put("c" + (i + 1), control.get(i));
        }
        for (int i = 0; i < routers.size(); i++) {
            mFailureDomains.put("r" + (i + 1), routers.get(i));
        }
        Files.writeString(folder.resolve("token"), TOKEN);
        for (String name : mFailureDomains.keySet()) {
            mListenAddresses.put(
                    name,
                    Map.of(
                            "http", "127.0.0.1:" + FreePorts.next(),
                            "peer", "127.0.0.1:" + FreePorts.next(),
                            "admin", "127.0.0.1:" + FreePorts.next()));
        }
        for (String name : mFailureDomains.keySet()) {
            boolean isControl = name.startsWith("c");
            Path file = folder.resolve(name + ".json");
            Files.writeString(file, settings(name, isControl).toString());
            String role = isControl ? "control" : "router";
            Path log = folder.resolve(name + ".log");
            mProcesses.put(name, new ChildProcess(log, role, "--settings", file.toString()));
            mProcesses.get(name).start();
        }
        try {
            configure();
        } catch (Exception | AssertionError e) {
            StringBuilder logs = new StringBuilder();
            for (Map.Entry<String, ChildProcess> c : mProcesses.entrySet()) {
                logs.append(c.getKey()).append(":\n").append(c.getValue().logTail(6)).append('\n');
            }
            close();
            throw new IllegalStateException("the fleet did not start\n" + logs, e);
        }
    }

    private void configure() throws IOException {
        for (String domain : Set.copyOf(mFailureDomains.values())) {
            applyChange("/v1/failure-domains/" + domain, "{\"region\":\"west\",\"out\":false}");
        }
        applyChange("/v1/models/granite", "{\"currentVersion\":\"v1\"}");
        applyChange("/v1/models/booking", "{\"currentVersion\":\"v1\"}");
        applyChange("/v1/customers/altiplano", "{\"weight\":1,\"homeRegion\":\"west\"}");
        applyChange("/v1/customers/counter", "{\"weight\":1,\"homeRegion\":\"west\"}");
        awaitRevision();
    }

    private ObjectNode settings(String name, boolean isControl) throws IOException {
        ObjectNode s = ApiClient.JSON.createObjectNode();
        s.put("role", isControl ? "control" : "router")
                .put("vmId", name)
                .put("failureDomain", mFailureDomains.get(name))
                .put("region", "west");
        s.set("listen", ApiClient.JSON.valueToTree(mListenAddresses.get(name)));
        ArrayNode members = s.putArray("controlMembers");
        ArrayNode routers = s.putArray("routers");
        for (String other : mFailureDomains.keySet()) {
            ObjectNode peer = (other.startsWith("c") ? members : routers).addObject();
            peer.put("vmId", other)
                    .put("failureDomain", mFailureDomains.get(other))
                    .put("region", "west")
                    .put("peer", peerAddress(name, other));
            if (other.startsWith("c")) {
                peer.put("http", mListenAddresses.get(other).get("http"));
            }
        }
        if (isControl) {
            s.put("dataFolder", dataFolder(name).toString())
                    .put("operatorTokenFile", mFolder.resolve("token").toString());
        } else {
            s.putObject("limits").put("drainDelayMs", 2_000).put("bodyTimeoutMs", 1_000);
        }
        return s;
    }

    private String peerAddress(String from, String to) throws IOException {
        Endpoint target = Endpoint.parse(mListenAddresses.get(to).get("peer"));
        if (from.equals(to) || (from.startsWith("c") && to.startsWith("r"))) {
            return target.toString();
        }
        int port = FreePorts.next();
        mRelays.put(
                from + ">" + to,
                new Relay(port, new InetSocketAddress(target.ip(), target.port())));
        return "127.0.0.1:" + port;
    }

    Path dataFolder(String member) {
        return mFolder.resolve("data-" + member);
    }

    // --- Processes and links --------------------------------------------------------------------

    ChildProcess process(String name) {
        return mProcesses.get(name);
    }

    /** Returns the address of a router for callers, or of a control member for operators. */
    String http(String name) {
        return mListenAddresses.get(name).get("http");
    }

    /** Returns the relay on the connections that one process opens to another. */
    Relay relay(String from, String to) {
        return mRelays.get(from + ">" + to);
    }

    /** Returns the relay on the connections of all routers to a backend server. */
    Relay relayTo(String server) {
        return mRelays.get(">" + server);
    }

    /** Partitions the processes of a failure domain from all others. */
    void isolate(String domain) {
        for (String from : mFailureDomains.keySet()) {
            for (String to : mFailureDomains.keySet()) {
                boolean inside = mFailureDomains.get(from).equals(domain);
                Relay relay = relay(from, to);
                if (relay != null && inside != mFailureDomains.get(to).equals(domain)) {
                    relay.partition();
                }
            }
        }
    }

    /** Ends all partitions. */
    void healPartitions() {
        mRelays.values().forEach(Relay::heal);
    }

    // --- Backend servers ------------------------------------------------------------------------

    /** Starts a backend server that announces itself to the routers of its failure domain. */
    void addServer(
            String id, String domain, String model, int cold, int warm, long warmUp, long token)
            throws Exception {
        addServer(id, domain, model, "v1", cold, warm, warmUp, token, 0);
    }

    /** Starts a backend server that fails {@code errorPercent} of its requests. */
    void addServer(
            String id,
            String domain,
            String model,
            String version,
            int cold,
            int warm,
            long warmUp,
            long token,
            int errorPercent)
            throws Exception {
        Endpoint listen = Endpoint.parse("127.0.0.1:" + FreePorts.next());
        List<Endpoint> routers =
                mFailureDomains.keySet().stream()
                        .filter(r -> r.startsWith("r") && mFailureDomains.get(r).equals(domain))
                        .map(r -> Endpoint.parse(http(r)))
                        .toList();
        // Routers reach the server through a relay, so that a test can stall connections to it.
        Endpoint announced = Endpoint.parse("127.0.0.1:" + FreePorts.next());
        mRelays.put(
                ">" + id,
                new Relay(announced.port(), new InetSocketAddress(listen.ip(), listen.port())));
        StandInOptions options =
                new StandInOptions(
                        id,
                        domain,
                        listen,
                        model,
                        version,
                        cold,
                        warm,
                        warmUp,
                        token,
                        errorPercent,
                        routers);
        StandInServer server = new StandInServer(options, announced);
        server.start();
        mServers.add(server);
        mServerAddresses.put(id, listen.toString());
        await("a router owns " + id, () -> ownerOf(id) != null);
    }

    /** Returns the statistics of the backend server. */
    JsonNode stats(String server) {
        return json(mServerAddresses.get(server), "/stats");
    }

    /** Overrides the state that the backend server announces. */
    void setState(String server, String state) {
        ApiClient.send("POST", mServerAddresses.get(server), "/state?set=" + state, "").join();
    }

    /** Returns how often the backend server executed the call with the key. */
    int executions(String server, String key) {
        return stats(server).path("executions").path(key).asInt();
    }

    /** Returns the number of requests that the backend server received. */
    long requests(String server) {
        return stats(server).path("requests").asLong();
    }

    /** Returns the router that owns the backend server, or null. */
    String ownerOf(String server) {
        for (String name : mFailureDomains.keySet()) {
            if (name.startsWith("r") && mProcesses.get(name).isAlive()) {
                for (JsonNode s : status(name).path("backendServers")) {
                    if (s.path("id").asText().equals(server)) {
                        return name;
                    }
                }
            }
        }
        return null;
    }

    // --- Status and metrics ---------------------------------------------------------------------

    private static JsonNode json(String address, String path) {
        try {
            return ApiClient.JSON.readTree(ApiClient.get(address, path).body());
        } catch (IOException e) {
            return ApiClient.JSON.createObjectNode();
        }
    }

    /** Returns the status of a router; empty if it does not answer. */
    JsonNode status(String router) {
        return json(mListenAddresses.get(router).get("admin"), "/status");
    }

    boolean isReady(String name) {
        return ApiClient.get(mListenAddresses.get(name).get("admin"), "/ready").status() == 200;
    }

    /** Returns the sum of a router's counters with the label value, such as a refusal reason. */
    long counterSum(String router, String label) {
        String metrics =
                ApiClient.get(mListenAddresses.get(router).get("admin"), "/metrics").body();
        return metrics.lines()
                .filter(l -> l.contains("\"" + label + "\""))
                .mapToLong(l -> (long) Double.parseDouble(l.substring(l.lastIndexOf(' ') + 1)))
                .sum();
    }

    /** Returns the status that the control member reports; empty if it does not answer. */
    JsonNode controlStatus(String member) {
        return json(http(member), "/v1/status");
    }

    /** Returns the leader whose leadership a majority has confirmed, or null. */
    String leader() {
        for (String name : mFailureDomains.keySet()) {
            if (name.startsWith("c") && mProcesses.get(name).isAlive()) {
                JsonNode status = controlStatus(name);
                if (status.path("control").path("role").asText().equals("leader")
                        && status.path("confirmed").asBoolean()) {
                    return name;
                }
            }
        }
        return null;
    }

    // --- Operators ------------------------------------------------------------------------------

    /** Sends a change to one member. */
    ApiClient.Answer sendChange(
            String member, String path, String body, String command, long basedOn) {
        return ApiClient.send(
                        "POST",
                        http(member),
                        path,
                        body,
                        "Authorization",
                        "Bearer " + TOKEN,
                        "X-Command-Id",
                        command,
                        "If-Match",
                        Long.toString(basedOn))
                .join();
    }

    /** Sends a change to the members in turn until one accepts it; returns its revision. */
    long applyChange(String path, String body) throws IOException {
        return applyChange(path, body, mFailureDomains.keySet().toArray(String[]::new));
    }

    /** Sends a change to the given members in turn until one accepts it; returns its revision. */
    long applyChange(String path, String body, String... members) throws IOException {
        String command = UUID.randomUUID().toString();
        ApiClient.Answer[] answer = new ApiClient.Answer[1];
        await(
                "a change is accepted",
                () -> {
                    for (String name : members) {
                        if (name.startsWith("c") && mProcesses.get(name).isAlive()) {
                            answer[0] = sendChange(name, path, body, command, 0);
                            if (answer[0].status() == 200) {
                                return true;
                            }
                        }
                    }
                    return false;
                });
        return answer[0].json().path("revision").asLong();
    }

    /** Waits until all running routers have the current revision and a valid view. */
    void awaitRevision() {
        await(
                "all routers have the current revision",
                () -> {
                    long revision = controlStatus(leader()).path("revision").asLong();
                    return mProcesses.keySet().stream()
                            .filter(r -> r.startsWith("r") && mProcesses.get(r).isAlive())
                            .allMatch(
                                    r ->
                                            status(r).path("revision").asLong() >= revision
                                                    && status(r).path("validView").asBoolean());
                });
    }

    /** Waits for a condition without a guaranteed time. */
    static void await(String what, Callable<Boolean> condition) {
        awaitWithin(AWAIT_TIMEOUT, what, condition);
    }

    /** Waits for a condition, at most for the given time. */
    static void awaitWithin(Duration limit, String what, Callable<Boolean> condition) {
        org.awaitility.Awaitility.await(what)
                .atMost(limit)
                .pollInterval(POLL_INTERVAL)
                .pollDelay(Duration.ZERO)
                .ignoreExceptions()
                .until(condition);
    }

    @Override
    public void close() throws Exception {
        for (ChildProcess c : mProcesses.values()) {
            c.close();
        }
        for (StandInServer s : mServers) {
            s.close();
        }
        for (Relay r : mRelays.values()) {
            r.close();
        }
    }
}
