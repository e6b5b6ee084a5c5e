package org.apricotgauge.operator;

import org.apricotgauge.model.Address;

/**
 * What came of asking one node; a node that does not answer is told of, never dropped.
 *
 * @param <T> type of the value asked for
 */
public sealed interface NodeAnswer<T> {

    /** Returns the administration address that was asked. */
    Address node();

    /**
     * The node answered.
     *
     * @param node administration address
     * @param value what it answered
     */
    record Answered<T>(Address node, T value) implements NodeAnswer<T> {}

    /**
     * The node gave no usable answer.
     *
     * @param node administration address
     * @param reason why, in one line
     */
    record Silent<T>(Address node, String reason) implements NodeAnswer<T> {}
}
