package umberrun.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.transport.Transport;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * A transport over Java NIO that uses one event loop for everything, including the accepting of
 * connections. By default Vert.x accepts on a thread of its own, which goes on while the event loop
 * is late: new connections then use up the file descriptors before they can be counted, and once
 * none is left, accepting pauses for a second and no worker can be reached. With a single loop,
 * connections that cannot be handled yet stay in the listen queue of the system.
 *
 * <p>Listeners can share their address with another process by SO_REUSEPORT, an option that the NIO
 * transport of Vert.x ignores. They can be closed without losing the connections in their queue.
 */
public final class SingleLoopTransport extends NioTransport implements Transport {
  /** What the system may hold of the unread input of an accepted connection. */
  private static final int RECEIVE_BUFFER_BYTES = 64 << 10;

  private final ReadScheduler scheduler;
  private EventLoopGroup eventLoopGroup;
  private final List<DrainableListener> listeners = new ArrayList<>();

  /** Creates a transport whose connections read when the scheduler lets them. */
  public SingleLoopTransport(ReadScheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** A listening socket that can be closed without resetting the connections in its queue. */
  private final class DrainableListener extends NioServerSocketChannel {
    /**
     * Accepts all queued connections and closes the socket. A socket that is registered with a
     * selector is closed only at the next selection, and until then the system goes on queueing
     * connections, all of which it resets in the end. So the socket is deregistered first; then the
     * queued connections are accepted and the socket is closed with nothing in between.
     */
    private Future<Void> drainAndClose() {
      Promise<Void> closed = Promise.promise();
      deregister().addListener(f -> closeOnceDeregistered(closed));
      return closed.future();
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
      SocketChannel socket = javaChannel().accept();
      if (socket == null) {
        return 0;
      }
      accepted.add(new ScheduledSocketChannel(this, socket, scheduler));
      return 1;
    }

    @Override
    protected ServerSocketChannel javaChannel() {
      return (ServerSocketChannel) super.javaChannel();
    }

    private void closeOnceDeregistered(Promise<Void> closed) {
      if (javaChannel().isRegistered()) {
        eventLoop().schedule(() -> closeOnceDeregistered(closed), 1, TimeUnit.MILLISECONDS);
        return;
      }
      List<Object> accepted = new ArrayList<>();
      try {
        while (doReadMessages(accepted) > 0) {
          // Accept all first; their requests can be read after the socket is closed.
          continue;
        }
      } catch (Exception e) {
        // Out of file descriptors: queued connections are reset, accepted ones are served.
        pipeline().fireExceptionCaught(e);
      }
      close();
      accepted.forEach(pipeline()::fireChannelRead);
      closed.complete();
    }
  }

  @Override
  public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
    return () -> new ScheduledSocketChannel(scheduler);
  }

  @Override
  public IoHandlerFactory ioHandlerFactory() {
    IoHandlerFactory factory = super.ioHandlerFactory();
    return executor -> new MeteredIoHandler(factory.newHandler(executor), scheduler.meter());
  }

  @Override
  public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
    return () -> {
      DrainableListener listener = new DrainableListener();
      listeners.add(listener);
      listener.closeFuture().addListener(f -> listeners.remove(listener));
      return listener;
    };
  }

  @Override
  public void configure(NetServerOptions options, boolean domainSocket, ServerBootstrap bootstrap) {
    super.configure(options, domainSocket, bootstrap);
    // Accepted connections inherit it. The system would let what is not read yet grow to megabytes.
    bootstrap.option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
    if (options.isReusePort()) {
      bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }
  }

  /**
   * Accepts the connections that are queued at a port and closes its listeners. Later connections
   * go to the other process that listens there. Accepted connections stay open, unlike when a
   * Vert.x server is closed. Completes once all queued connections are accepted.
   */
  public Future<Void> stopListening(int port) {
    return Future.join(
            listeners.stream()
                .filter(l -> l.localAddress() != null && l.localAddress().getPort() == port)
                .map(DrainableListener::drainAndClose)
                .toList())
        .mapEmpty();
  }

  @Override
  public synchronized EventLoopGroup eventLoopGroup(
      int type, int threads, ThreadFactory factory, int ioRatio) {
    if (eventLoopGroup == null) {
      eventLoopGroup = super.eventLoopGroup(IO_EVENT_LOOP_GROUP, 1, factory, ioRatio);
    }
    return eventLoopGroup;
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
