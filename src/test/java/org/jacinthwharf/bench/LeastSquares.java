package org.jacinthwharf.bench;

/** Fits a line through measured points. Stateless and thread-safe. */
final class LeastSquares {
    private LeastSquares() {}

    /** Returns the slope of the line with the smallest sum of squared errors. */
    static double slope(double[] x, double[] y) {
        double meanX = java.util.Arrays.stream(x).average().orElse(0);
        double meanY = java.util.Arrays.stream(y).average().orElse(0);
        double products = 0;
        double squares = 0;
        for (int i = 0; i < x.length; i++) {
            products += (x[i] - meanX) * (y[i] - meanY);
            squares += (x[i] - meanX) * (x[i] - meanX);
        }
        return products / squares;
    }
}
