package org.jacinthwharf.process.metrics;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.jacinthwharf.connection.HttpAnswer;

/** Renders the metrics of a process as text. Stateless and thread-safe. */
public final class MetricsText {
    private MetricsText() {}

    /** Returns all metrics in the Prometheus text format. */
    public static HttpAnswer answer(FleetMetrics metrics) {
        PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            writer.write(out, metrics.registry().scrape());
        } catch (IOException e) {
            // Not thrown by a ByteArrayOutputStream.
            throw new UncheckedIOException(e);
        }
        return new HttpAnswer(200, writer.getContentType(), out.toByteArray(), Optional.empty());
    }
}
