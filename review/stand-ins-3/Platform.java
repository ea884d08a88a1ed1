/** Texts that the stand-ins send as the platform's pages show them. */
final class Platform {
    static String HOST = "a.example";
    static final String SERVICE = "svc1";
    static final String KEY = "key0000000000000001";

    private Platform() {}

    /** Returns a desired state with one route of a kind, whose time-out shows the version. */
    static String desiredState(int version, String kind) {
        return "{\"version\":" + version
                + ",\"routes\":[{\"name\":\"r1\",\"host\":\"" + HOST
                + "\",\"prefix\":\"/p/\",\"kind\":\"" + kind
                + "\",\"timeoutMs\":3000,\"sloMs\":300,\"priority\":1,\"service\":\"" + SERVICE
                + "\",\"attempts\":2,\"anonymous\":false,\"sticky\":false}],"
                + "\"services\":[{\"name\":\"" + SERVICE
                + "\",\"healthPath\":\"/health\",\"maxConns\":100,\"proto\":\"h1\",\"tls\":false,"
                + "\"coldStartS\":0.0,\"coldPerS\":0.0}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":203000},"
                + "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    /** Returns a desired state with one route whose answers are streams. */
    static String streamState(int version, int gapSloMs) {
        return desiredState(version, "stream")
                .replace("\"timeoutMs\":3000", "\"timeoutMs\":12000")
                .replace("\"attempts\":2", "\"attempts\":1")
                .replace(
                        "\"sticky\":false",
                        "\"sticky\":false,\"resumable\":false,\"gapSloMs\":" + gapSloMs)
                .replace("\"maxConns\":100", "\"maxConns\":360");
    }

    /** Returns the version in a desired state, -1 if there is none. */
    static int version(String desiredState) {
        java.util.regex.Matcher m =
                java.util.regex.Pattern.compile("\"version\":(\\d+)").matcher(desiredState);
        return m.find() ? Integer.parseInt(m.group(1)) : -1;
    }
}
