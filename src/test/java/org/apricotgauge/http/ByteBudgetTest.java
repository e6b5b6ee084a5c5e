package org.apricotgauge.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ByteBudgetTest {
    @Test
    void reservesUpToItsBound() {
        ByteBudget budget = new ByteBudget(10);

        assertThat(budget.tryReserve(8)).isTrue();
        assertThat(budget.tryReserve(3)).isFalse();
        assertThat(budget.reservedBytes()).isEqualTo(8);
        budget.release(8);
        assertThat(budget.tryReserve(10)).isTrue();
    }
}
