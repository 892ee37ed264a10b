package umberrun.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.UncheckedBooleanSupplier;

/** Allocates one buffer for each turn of a connection, and none outside its turns. */
final class TurnReadHandle implements RecvByteBufAllocator.ExtendedHandle {
  private final ScheduledSocketChannel channel;
  private int lastBytesRead;
  private int attemptedBytesRead;

  TurnReadHandle(ScheduledSocketChannel channel) {
    this.channel = channel;
  }

  @Override
  public ByteBuf allocate(ByteBufAllocator allocator) {
    int bytes = channel.bytesToRead();
    return bytes == 0 ? Unpooled.EMPTY_BUFFER : allocator.ioBuffer(bytes, bytes);
  }

  @Override
  public int guess() {
    return channel.bytesToRead();
  }

  @Override
  public void reset(ChannelConfig config) {
    lastBytesRead = 0;
  }

  @Override
  public void incMessagesRead(int count) {}

  @Override
  public void lastBytesRead(int bytes) {
    lastBytesRead = bytes;
  }

  @Override
  public int lastBytesRead() {
    return lastBytesRead;
  }

  @Override
  public void attemptedBytesRead(int bytes) {
    attemptedBytesRead = bytes;
  }

  @Override
  public int attemptedBytesRead() {
    return attemptedBytesRead;
  }

  @Override
  public boolean continueReading() {
    return false;
  }

  @Override
  public boolean continueReading(UncheckedBooleanSupplier maybeMoreData) {
    return false;
  }

  @Override
  public void readComplete() {}
}
