/** Operators: apricotgauge-review, which judges one patch before it is signed off. */
package org.apricotgauge.operator.review;
