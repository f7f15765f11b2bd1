package io.figspan.bench.slopes;

/**
 * Least-squares line through measured points.
 *
 * @param intercept value at size 0
 * @param slope growth for each further unit of size
 * @param slopeError standard error of the slope
 */
record LineFit(double intercept, double slope, double slopeError) {

    static LineFit through(double[] sizes, double[] values) {
        int count = sizes.length;
        double meanSize = mean(sizes);
        double meanValue = mean(values);
        double sizeSpread = 0;
        double product = 0;
        for (int i = 0; i < count; i++) {
            sizeSpread += (sizes[i] - meanSize) * (sizes[i] - meanSize);
            product += (sizes[i] - meanSize) * (values[i] - meanValue);
        }
        double slope = product / sizeSpread;
        double intercept = meanValue - slope * meanSize;
        double squares = 0;
        for (int i = 0; i < count; i++) {
            double residual = values[i] - intercept - slope * sizes[i];
            squares += residual * residual;
        }
        return new LineFit(intercept, slope, Math.sqrt(squares / (count - 2) / sizeSpread));
    }

    double at(double size) {
        return intercept + slope * size;
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum / values.length;
    }
}
