package org.jacinthwharf.process.settings;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.Locale;
import org.jacinthwharf.process.duty.Duty;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a time that a process reads in another unit than its settings give it. */
final class NodeSettingsReaderTest {
    private static SettingsResult<NodeSettings> read(String grace) {
        return read(grace, "");
    }

    private static SettingsResult<NodeSettings> read(String grace, String more) {
        String settings =
                String.format(
                        Locale.ROOT,
                        "{\"vmId\":\"10.0.0.1\",\"failureDomain\":\"west\",\"region\":\"r\","
                                + "\"peerPort\":7,\"seeds\":[],\"listen\":{},\"bounds\":{"
                                + "\"announceMillis\":1000,%s,\"retryRatio\":0.2,"
                                + "\"retryWindowSeconds\":10,\"retrySlack\":50}%s}",
                        grace,
                        more);
        return new NodeSettingsReader().read("f", settings.getBytes(StandardCharsets.UTF_8));
    }

    private static NodeBounds bounds(String grace) {
        return ((SettingsResult.Valid<NodeSettings>) read(grace)).settings().bounds();
    }

    // A planned stop of 8.5 s was taken for one of 8.5 ms, and cut all calls.
    @ParameterizedTest
    @CsvSource({"8,8000", "8.5,8500", "0.25,250", "1e1,10000"})
    void fractionsOfSecondsAreKept(String seconds, long millis) {
        assertThat(bounds("\"stopGraceSeconds\":" + seconds).stopGraceMillis()).isEqualTo(millis);
    }

    @Test
    void millisecondsAreReadAsBefore() {
        assertThat(bounds("\"stopGraceMillis\":8000").stopGraceMillis()).isEqualTo(8_000);
        assertThat(bounds("\"stopGraceMillis\":8000").retryWindowMillis()).isEqualTo(10_000);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"stopGraceSeconds\":-1",
                "\"stopGraceSeconds\":0",
                "\"stopGraceSeconds\":\"8\"",
                "\"stopGraceSeconds\":1e9",
                "\"stopGraceSeconds\":8,\"stopGraceMillis\":8000",
                "\"other\":1"
            })
    void otherTimesAreInvalidAndNamed(String grace) {
        SettingsResult<NodeSettings> result = read(grace);
        assertThat(result).isInstanceOf(SettingsResult.Invalid.class);
        String problem = ((SettingsResult.Invalid<NodeSettings>) result).problems().toString();
        assertThat(problem).contains("stopGrace");
    }

    // A limit that is left out, given by the platform, or of no use.
    @Test
    void descriptorsAreLimitedAsGivenOrByTheDefault() {
        String grace = "\"stopGraceSeconds\":8";
        assertThat(read(grace).toString()).contains("maxDescriptors=4096");
        assertThat(read(grace, ",\"maxDescriptors\":4100").toString())
                .contains("maxDescriptors=4100");
        for (String odd : new String[] {"12", "-1", "\"many\"", "1e12"}) {
            assertThat(read(grace, ",\"maxDescriptors\":" + odd).toString())
                    .contains("/maxDescriptors");
        }
    }

    private static String duties(String more) {
        return ",\"duties\":{\"address\":\"10.9.0.1:80\",\"holder\":\"vm-1\","
                + "\"names\":[\"usage_report\",\"autoscale\",\"of_a_later_release\"]"
                + more
                + "}";
    }

    // Without an outside interface a process must not try to make outside calls.
    @Test
    void dutiesAreOffUnlessTheSettingsNameThem() {
        String grace = "\"stopGraceSeconds\":8";
        assertThat(read(grace, "").toString()).contains("duties=Optional.empty");
        String some =
                ",\"leaseMillis\":4000,\"usageWindowSeconds\":5,\"usageDelaySeconds\":10,"
                        + "\"callsPerSecond\":50.0";
        DutySettings settings =
                ((SettingsResult.Valid<NodeSettings>) read(grace, duties(some)))
                        .settings()
                        .duties()
                        .orElseThrow();
        assertThat(settings)
                .isEqualTo(
                        new DutySettings(
                                "vm-1",
                                Endpoint.parse("10.9.0.1:80"),
                                EnumSet.allOf(Duty.class),
                                50,
                                4_000,
                                5_000,
                                10_000));
        assertThat(read(grace, duties("")).toString()).contains("leaseMillis=3000");
        assertThat(read(grace, duties(",\"callsPerSecond\":0")))
                .isInstanceOf(SettingsResult.Invalid.class);
    }
}
