package umberrun;

import io.netty.channel.EventLoopGroup;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import java.util.concurrent.ThreadFactory;

/**
 * Java's own sockets with one event loop for everything, accepting included. The library would accept on a thread
 * of its own, which goes on while the loop is late: new connections then use descriptors up before anything
 * here can count them, and once none is left accepting rests for a second and no worker can be reached. On one
 * loop, what can't be looked at yet waits in the system's queue.
 */
final class SingleLoop extends NioTransport implements Transport {
  private EventLoopGroup loop;

  @Override
  public synchronized EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory factory, int ioRatio) {
    if (loop == null) {
      loop = super.eventLoopGroup(IO_EVENT_LOOP_GROUP, 1, factory, ioRatio);
    }
    return loop;
  }

  @Override
  public String name() {
    return "nio-single-loop";
  }

  @Override
  public boolean available() {
    return true;
  }

  @Override
  public Throwable unavailabilityCause() {
    return null;
  }

  @Override
  public io.vertx.core.spi.transport.Transport implementation() {
    return this;
  }
}
