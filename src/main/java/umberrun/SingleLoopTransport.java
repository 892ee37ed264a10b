package umberrun;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.transport.Transport;
import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * Java's own sockets with one event loop for everything, accepting included. The library would
 * accept on a thread of its own, which goes on while the loop is late: new connections then use
 * descriptors up before anything here can count them, and once none is left accepting rests for a
 * second and no worker can be reached. On one loop, what can't be looked at yet waits in the
 * system's queue.
 *
 * <p>Listeners that ask for it share their address with another process (SO_REUSEPORT), which the
 * library's own transport passes over, and can be closed without losing what waits in their queue.
 */
final class SingleLoopTransport extends NioTransport implements Transport {
  private EventLoopGroup loop;
  private final List<Listener> listeners = new ArrayList<>();

  /** A listening socket that can be closed without resetting what waits in its queue. */
  private static final class Listener extends NioServerSocketChannel {
    /**
     * A socket that is still registered with the selector is closed only when that next looks, and
     * goes on taking connections until then, all of which the system resets. So it is deregistered
     * first; then what waits is taken and the socket closed with nothing in between.
     */
    Future<Void> leave() {
      Promise<Void> left = Promise.promise();
      deregister().addListener(f -> closeOnceOff(left));
      return left.future();
    }

    private void closeOnceOff(Promise<Void> left) {
      if (javaChannel().isRegistered()) {
        eventLoop().schedule(() -> closeOnceOff(left), 1, TimeUnit.MILLISECONDS);
        return;
      }
      List<Object> accepted = new ArrayList<>();
      try {
        while (doReadMessages(accepted) > 0) {
          continue; // all first: what they have to say can wait until the socket is closed
        }
      } catch (
          Exception e) { // out of descriptors: those that wait are reset, those that were taken are
        // served
        pipeline().fireExceptionCaught(e);
      }
      close();
      accepted.forEach(pipeline()::fireChannelRead);
      left.complete();
    }
  }

  @Override
  public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
    return () -> {
      Listener l = new Listener();
      listeners.add(l);
      l.closeFuture().addListener(f -> listeners.remove(l));
      return l;
    };
  }

  @Override
  public void configure(NetServerOptions options, boolean domainSocket, ServerBootstrap bootstrap) {
    super.configure(options, domainSocket, bootstrap);
    if (options.isReusePort()) {
      bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }
  }

  /**
   * Takes in what waits at a port and closes its listener: what comes later goes to the other
   * process that listens there. The connections stay, unlike with the library's close of a server.
   * Done once all that waited is taken in.
   */
  Future<Void> stopListening(int port) {
    return Future.join(
            listeners.stream()
                .filter(l -> l.localAddress() != null && l.localAddress().getPort() == port)
                .map(Listener::leave)
                .toList())
        .mapEmpty();
  }

  @Override
  public synchronized EventLoopGroup eventLoopGroup(
      int type, int threads, ThreadFactory factory, int ioRatio) {
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
