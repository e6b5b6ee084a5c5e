package org.apricotgauge.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Arrays;
import org.apricotgauge.decision.gossip.PeerMessage;

/** One TCP connection with its incoming and outgoing frames; used only by the loop's thread. */
final class PeerConnection {
    private static final int INITIAL_BUFFER_BYTES = 4 << 10;
    private static final int MAX_QUEUED_BYTES = 4 << 20;
    private static final int MAX_QUEUED_FRAMES = 1_024;

    /** Handles complete frames. */
    interface FrameHandler {
        void onFrame(byte[] bytes, int offset, int length) throws IOException;

        /** Returns whether further frames are wanted. */
        boolean isOpen();
    }

    private final long mLink;
    private final SocketChannel mChannel;
    private final SelectionKey mKey;
    private final TransportCounters mCounters;
    private final ArrayDeque<ByteBuffer> mOutputQueue = new ArrayDeque<>();
    private byte[] mInputBuffer = new byte[INITIAL_BUFFER_BYTES];
    private int mInputBytes;
    private int mQueuedBytes;

    PeerConnection(long link, SocketChannel channel, SelectionKey key, TransportCounters counters) {
        mLink = link;
        mChannel = channel;
        mKey = key;
        mCounters = counters;
    }

    long link() {
        return mLink;
    }

    SocketChannel channel() {
        return mChannel;
    }

    SelectionKey key() {
        return mKey;
    }

    /** Queues a frame; returns false if the queue is full. */
    boolean enqueue(byte[] frame) {
        // Bounds the memory for a peer that stops reading: its link is closed, and it catches up by
        // anti-entropy.
        if (mOutputQueue.size() >= MAX_QUEUED_FRAMES
                || mQueuedBytes + frame.length > MAX_QUEUED_BYTES) {
            return false;
        }
        mOutputQueue.add(ByteBuffer.wrap(frame));
        mQueuedBytes += frame.length;
        mCounters.framesOut().inc();
        return true;
    }

    /** Writes as much as the socket accepts. */
    void flush() throws IOException {
        if (!mChannel.isConnected()) {
            return;
        }
        while (!mOutputQueue.isEmpty()) {
            long written = mChannel.write(mOutputQueue.toArray(ByteBuffer[]::new));
            mQueuedBytes -= (int) written;
            mCounters.bytesOut().inc(written);
            while (!mOutputQueue.isEmpty() && !mOutputQueue.peek().hasRemaining()) {
                mOutputQueue.poll();
            }
            if (written == 0) {
                break;
            }
        }
        int interest = mOutputQueue.isEmpty() ? 0 : SelectionKey.OP_WRITE;
        mKey.interestOps(SelectionKey.OP_READ | interest);
    }

    /** Reads the available bytes; returns false at the end of the stream. */
    boolean read(ByteBuffer scratch, FrameHandler sink) throws IOException {
        scratch.clear();
        int count = mChannel.read(scratch);
        if (count < 0) {
            return false;
        }
        mCounters.bytesIn().inc(count);
        scratch.flip();
        ensureCapacity(mInputBytes + count);
        scratch.get(mInputBuffer, mInputBytes, count);
        mInputBytes += count;
        readFrames(sink);
        return true;
    }

    private void readFrames(FrameHandler sink) throws IOException {
        int start = 0;
        while (sink.isOpen() && mInputBytes - start >= MessageCodec.LENGTH_BYTES) {
            int length = ByteBuffer.wrap(mInputBuffer, start, MessageCodec.LENGTH_BYTES).getInt();
            if (length < 1 || length > MessageCodec.MAX_FRAME_BYTES) {
                throw new IOException("invalid frame length " + length);
            }
            int end = start + MessageCodec.LENGTH_BYTES + length;
            if (end > mInputBytes) {
                ensureCapacity(end - start);
                break;
            }
            mCounters.framesIn().inc();
            sink.onFrame(mInputBuffer, start + MessageCodec.LENGTH_BYTES, length);
            start = end;
        }
        mInputBytes -= start;
        System.arraycopy(mInputBuffer, start, mInputBuffer, 0, mInputBytes);
        if (mInputBytes == 0 && mInputBuffer.length > 16 * INITIAL_BUFFER_BYTES) {
            mInputBuffer = new byte[INITIAL_BUFFER_BYTES];
        }
    }

    private void ensureCapacity(int bytes) {
        if (bytes > mInputBuffer.length) {
            mInputBuffer = Arrays.copyOf(mInputBuffer, Math.max(bytes, 2 * mInputBuffer.length));
        }
    }

    /** Caches the last frame, so that a message sent to several links in a row is encoded once. */
    static final class LastFrameCache {
        private PeerMessage mLastMessage;
        private byte[] mLastFrame;

        byte[] frameOf(PeerMessage message) {
            if (message != mLastMessage) {
                mLastFrame = MessageCodec.encode(message);
                mLastMessage = message;
            }
            return mLastFrame;
        }
    }
}
