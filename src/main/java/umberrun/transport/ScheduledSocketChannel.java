package umberrun.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;
import umberrun.stats.EventLoopMeter;

/** A connection whose reads are measured. */
final class ScheduledSocketChannel extends NioSocketChannel {
  private final EventLoopMeter meter;

  /** When the bytes that are being handled were read; valid while {@link #handling}. */
  private long readAt;

  private boolean handling;

  /** Creates a connection that this process opens. */
  ScheduledSocketChannel(EventLoopMeter meter) {
    this.meter = meter;
  }

  /** Creates a connection that a listener has accepted. */
  ScheduledSocketChannel(Channel listener, SocketChannel accepted, EventLoopMeter meter) {
    super(listener, accepted);
    this.meter = meter;
  }

  @Override
  protected int doReadBytes(ByteBuf buffer) throws Exception {
    recordHandled();
    readAt = System.nanoTime();
    meter.beginTurn(readAt);
    int bytes = super.doReadBytes(buffer);
    handling = bytes > 0;
    return bytes;
  }

  /** Called when the pipeline has handled all that was read. */
  @Override
  protected void doBeginRead() throws Exception {
    recordHandled();
    super.doBeginRead();
  }

  private void recordHandled() {
    if (handling) {
      handling = false;
      meter.record(this::describe, System.nanoTime() - readAt);
    }
  }

  private String describe() {
    return parent() == null
        ? "the connection to " + remoteAddress()
        : "the client " + remoteAddress() + " of " + localAddress();
  }
}
