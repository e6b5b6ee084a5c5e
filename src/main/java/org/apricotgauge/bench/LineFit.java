package org.apricotgauge.bench;

/**
 * A straight line through measured points, by least squares.
 *
 * @param intercept value at size 0
 * @param slope value for each unit of size
 * @param residualPercent largest distance of a point from the line, in percent of that point
 */
record LineFit(double intercept, double slope, double residualPercent) {
    private static final double ALL_PERCENT = 100.0;

    static LineFit through(double[] sizes, double[] values) {
        int n = sizes.length;
        double sumX = 0;
        double sumY = 0;
        double sumXx = 0;
        double sumXy = 0;
        for (int i = 0; i < n; i++) {
            sumX += sizes[i];
            sumY += values[i];
            sumXx += sizes[i] * sizes[i];
            sumXy += sizes[i] * values[i];
        }
        double slope = (n * sumXy - sumX * sumY) / (n * sumXx - sumX * sumX);
        double intercept = (sumY - slope * sumX) / n;
        double worst = 0;
        for (int i = 0; i < n; i++) {
            double off = Math.abs(intercept + slope * sizes[i] - values[i]);
            worst = Math.max(worst, ALL_PERCENT * off / Math.abs(values[i]));
        }
        return new LineFit(intercept, slope, worst);
    }

    double at(double size) {
        return intercept + slope * size;
    }
}
